// Command citest runs the README's test command with the race detector and
// evaluates the result. The run passes if every test passed except those listed
// in KNOWN-RED.txt, which it prints.
//
// Exit codes: 0 pass, 1 a test outside KNOWN-RED.txt failed, or a listed one
// passes again although its entry does not say that it fails at times, 2 the
// tests could not be built or run.
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
