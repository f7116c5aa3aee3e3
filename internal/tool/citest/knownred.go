package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"strings"
)

// knownRed maps each listed test, named "import/path.TestName", to how it
// fails.
type knownRed map[string]failureMode

// readKnownRed reads the tests listed in the file path. A missing file is an
// empty list.
func readKnownRed(path string) (knownRed, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return knownRed{}, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()

	known, err := parseKnownRed(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return known, nil
}

// parseKnownRed reads a list of entries. An entry begins with a line
// "test: import/path.TestName" and may hold a line "fails: always" (the
// default) or "fails: at times"; other lines explain it.
func parseKnownRed(r io.Reader) (knownRed, error) {
	known := knownRed{}
	current := ""
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		line := strings.TrimSpace(scanner.Text())
		if name, ok := strings.CutPrefix(line, "test:"); ok {
			current = strings.TrimSpace(name)
			if current == "" {
				return nil, errors.New("an entry names no test")
			}
			if _, twice := known[current]; twice {
				return nil, fmt.Errorf("%s is listed twice", current)
			}
			known[current] = failsAlways
			continue
		}
		if value, ok := strings.CutPrefix(line, "fails:"); ok {
			mode, err := parseFailureMode(strings.TrimSpace(value))
			if err != nil {
				return nil, err
			}
			if current == "" {
				return nil, fmt.Errorf("%q comes before the first entry", line)
			}
			known[current] = mode
		}
	}
	return known, scanner.Err()
}
