package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
)

// testArgs is the README's test command with the race detector and machine
// readable output.
var testArgs = []string{"test", "-race", "-json", "-timeout", "15m", "./..."}

// event is one line of `go test -json`.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// runTests runs the tests and collects their events. It fails only if the go
// command could not be started or its output could not be read.
func runTests() (*result, error) {
	cmd := exec.Command("go", testArgs...)
	cmd.Stderr = os.Stderr
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	res, err := collect(stdout)
	if err != nil {
		return nil, err
	}
	if err := cmd.Wait(); err != nil {
		if _, ok := errors.AsType[*exec.ExitError](err); !ok {
			return nil, err
		}
		res.exitedNonZero = true
	}
	return res, nil
}

// collect reads test events until r ends.
func collect(r io.Reader) (*result, error) {
	res := newResult()
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 16<<20)
	for scanner.Scan() {
		var ev event
		if err := json.Unmarshal(scanner.Bytes(), &ev); err != nil {
			return nil, fmt.Errorf("test output: %w: %s", err, strings.TrimSpace(scanner.Text()))
		}
		res.add(ev)
	}
	return res, scanner.Err()
}
