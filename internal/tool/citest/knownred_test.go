package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestKnownRedEntryStatesHowItsTestFails(t *testing.T) {
	known, err := parseKnownRed(strings.NewReader(`Known failures.

test: a/b.TestOne
seen: nothing
fails: at times

test: a/b.TestTwo
fails: always

test: a/b.TestThree
`))
	if err != nil {
		t.Fatal(err)
	}
	want := knownRed{"a/b.TestOne": failsAtTimes, "a/b.TestTwo": failsAlways, "a/b.TestThree": failsAlways}
	if len(known) != len(want) {
		t.Fatalf("read %v, want %v", known, want)
	}
	for name, mode := range want {
		if known[name] != mode {
			t.Errorf("%s: mode %d, want %d", name, known[name], mode)
		}
	}
}

func TestMalformedKnownRedIsRejected(t *testing.T) {
	for name, text := range map[string]string{
		"no name":            "test:\n",
		"unknown mode":       "test: a/b.TestOne\nfails: sometimes\n",
		"empty mode":         "test: a/b.TestOne\nfails:\n",
		"mode without entry": "fails: at times\n",
		"listed twice":       "test: a/b.TestOne\ntest: a/b.TestOne\n",
	} {
		if known, err := parseKnownRed(strings.NewReader(text)); err == nil {
			t.Errorf("%s: accepted as %v", name, known)
		}
	}
}

func TestMissingKnownRedListsNothing(t *testing.T) {
	known, err := readKnownRed(filepath.Join(t.TempDir(), "KNOWN-RED.txt"))
	if err != nil || len(known) != 0 {
		t.Fatalf("missing file: read %v with error %v, want no entries and no error", known, err)
	}
}

func TestErrorOfKnownRedNamesTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	if err := os.WriteFile(path, []byte("test:\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := readKnownRed(path); err == nil || !strings.Contains(err.Error(), path) {
		t.Fatalf("error %v does not name %s", err, path)
	}
}
