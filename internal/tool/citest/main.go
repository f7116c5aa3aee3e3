// Command citest runs the README's test command with the race detector and
// evaluates the result. Tests listed in KNOWN-RED.txt may fail; it prints them.
//
// Exit codes: 0 pass; 1 a test outside KNOWN-RED.txt, a build or the go command
// failed, a listed test did not fail although its entry does not say that it fails
// at times, or a listed test or all tests did not run; 2 KNOWN-RED.txt or the test
// output could not be read, or the go command could not be started.
package main

import (
	"fmt"
	"os"
)

func main() {
	known, err := readKnownRed("KNOWN-RED.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, "citest:", err)
		os.Exit(2)
	}
	result, err := runTests()
	if err != nil {
		fmt.Fprintln(os.Stderr, "citest:", err)
		os.Exit(2)
	}
	if !result.evaluate(known, os.Stdout) {
		os.Exit(1)
	}
}
