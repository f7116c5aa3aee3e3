package main

import (
	"strings"
	"testing"
)

const listedTest = "a/b.TestListed"

// run returns the result of a run in which a/b.TestOther passed and the listed
// test ended with action; an empty action means that it did not run.
func run(action string) *result {
	res := newResult()
	res.add(event{Action: "pass", Package: "a/b", Test: "TestOther"})
	if action != "" {
		res.add(event{Action: action, Package: "a/b", Test: "TestListed"})
	}
	if action == "fail" {
		res.add(event{Action: "fail", Package: "a/b"})
		res.exitedNonZero = true
	}
	return res
}

func TestListedTestIsEvaluatedByItsFailureMode(t *testing.T) {
	for _, tc := range []struct {
		name   string
		known  knownRed
		action string
		want   bool
		prints string
	}{
		{"fails always and fails", knownRed{listedTest: failsAlways}, "fail", true, "KNOWN-RED failed as listed: " + listedTest},
		{"fails always and passes", knownRed{listedTest: failsAlways}, "pass", false, "take it off the list"},
		{"fails always and is skipped", knownRed{listedTest: failsAlways}, "skip", false, "take it off the list"},
		{"fails always and does not run", knownRed{listedTest: failsAlways}, "", false, "take it off the list"},
		{"fails at times and fails", knownRed{listedTest: failsAtTimes}, "fail", true, "KNOWN-RED failed as listed: " + listedTest},
		{"fails at times and passes", knownRed{listedTest: failsAtTimes}, "pass", true, "KNOWN-RED passed, listed as failing at times: " + listedTest},
		{"fails at times and is skipped", knownRed{listedTest: failsAtTimes}, "skip", false, "did not run"},
		{"fails at times and does not run", knownRed{listedTest: failsAtTimes}, "", false, "did not run"},
		{"not listed and fails", knownRed{}, "fail", false, "FAIL " + listedTest},
		{"not listed and passes", knownRed{}, "pass", true, "2 passed, 0 failed, 0 skipped"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var out strings.Builder
			if got := run(tc.action).evaluate(tc.known, &out); got != tc.want {
				t.Errorf("evaluated as %v, want %v: %s", got, tc.want, out.String())
			}
			if !strings.Contains(out.String(), tc.prints) {
				t.Errorf("printed %q, want %q in it", out.String(), tc.prints)
			}
		})
	}
}

func TestFlakyEntryCoversNoOtherTest(t *testing.T) {
	res := run("pass")
	res.add(event{Action: "fail", Package: "a/b", Test: "TestUnlisted"})
	var out strings.Builder
	if res.evaluate(knownRed{listedTest: failsAtTimes}, &out) {
		t.Errorf("a failure outside the list passed: %s", out.String())
	}
}

// TestListedTestThatPanicsFailsTheRun guards against a run that passes although a panic in
// a listed test ended the package, so that the tests after it did not run.
func TestListedTestThatPanicsFailsTheRun(t *testing.T) {
	for _, output := range []string{"panic: runtime error: index out of range\n", "fatal error: all goroutines are asleep\n", "panic: test timed out after 15m0s\n"} {
		res := run("fail")
		res.add(event{Action: "output", Package: "a/b", Test: "TestListed", Output: output})
		var out strings.Builder
		if res.evaluate(knownRed{listedTest: failsAlways}, &out) {
			t.Errorf("a run without the tests after %q passed: %s", output, out.String())
		}
		if !strings.Contains(out.String(), "a/b ended before all of its tests had run") {
			t.Errorf("printed %q", out.String())
		}
	}
}
