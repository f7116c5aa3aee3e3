// Command swiftvanectl queries and operates a swiftvane query tier. Its exit codes
// are those of package exitcode.
package main

import (
	"os"

	"github.com/swiftvane/swiftvane/internal/tool/cli"
)

func main() {
	os.Exit(int(cli.Execute(os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})))
}
