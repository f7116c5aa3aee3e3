package main

import (
	"bufio"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
)

// knownRed is the set of tests listed as failing, each named
// "import/path.TestName".
type knownRed map[string]struct{}

// readKnownRed reads the tests listed in path. An entry begins with a line
// "test: import/path.TestName"; other lines explain it. A missing file lists
// nothing.
func readKnownRed(path string) (knownRed, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return knownRed{}, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()

	known := knownRed{}
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		name, ok := strings.CutPrefix(strings.TrimSpace(scanner.Text()), "test:")
		if !ok {
			continue
		}
		name = strings.TrimSpace(name)
		if name == "" {
			return nil, fmt.Errorf("%s: an entry names no test", path)
		}
		known[name] = struct{}{}
	}
	return known, scanner.Err()
}
