package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// result is the outcome of one run of the tests.
type result struct {
	passed, failed, skipped map[string]struct{}
	failedPackages          map[string]struct{}
	output                  map[string][]string
	exitedNonZero           bool
}

func newResult() *result {
	return &result{
		passed:         map[string]struct{}{},
		failed:         map[string]struct{}{},
		skipped:        map[string]struct{}{},
		failedPackages: map[string]struct{}{},
		output:         map[string][]string{},
	}
}

// add records one event. Only top-level tests count; the output of a subtest is
// kept with its top-level test.
func (r *result) add(ev event) {
	top, _, isSubtest := strings.Cut(ev.Test, "/")
	name := ev.Package + "." + top
	switch ev.Action {
	case "output", "build-output":
		r.output[name] = append(r.output[name], ev.Output)
		if ev.Action == "build-output" {
			fmt.Print(ev.Output)
		}
	case "pass", "fail", "skip":
		r.finish(ev, name, isSubtest)
	}
}

func (r *result) finish(ev event, name string, isSubtest bool) {
	if isSubtest {
		return
	}
	if ev.Test == "" {
		if ev.Action == "fail" {
			r.failedPackages[ev.Package] = struct{}{}
		}
		fmt.Printf("%-4s %s\n", ev.Action, ev.Package)
		return
	}
	map[string]map[string]struct{}{"pass": r.passed, "fail": r.failed, "skip": r.skipped}[ev.Action][name] = struct{}{}
}

// evaluate prints the outcome and reports whether the run passes.
func (r *result) evaluate(known knownRed, w io.Writer) bool {
	ok := true
	packagesWithFailedTests := map[string]struct{}{}
	for _, name := range sorted(r.failed) {
		packagesWithFailedTests[packageOf(name)] = struct{}{}
		if _, listed := known[name]; listed {
			_, _ = fmt.Fprintf(w, "KNOWN-RED failed as listed: %s\n", name)
			continue
		}
		ok = false
		_, _ = fmt.Fprintf(w, "FAIL %s\n%s", name, strings.Join(r.output[name], ""))
	}
	for _, pkg := range sorted(r.failedPackages) {
		if line := r.endedBy(pkg); line != "" {
			ok = false
			_, _ = fmt.Fprintf(w, "FAIL %s ended before all of its tests had run: %s\n", pkg, line)
		}
		if _, explained := packagesWithFailedTests[pkg]; !explained {
			ok = false
			_, _ = fmt.Fprintf(w, "FAIL %s did not build, or ended outside a test\n%s", pkg, strings.Join(r.output[pkg+"."], ""))
		}
	}
	if !r.evaluateListed(known, w) {
		ok = false
	}
	for _, name := range sorted(r.skipped) {
		_, _ = fmt.Fprintf(w, "skipped: %s\n", name)
	}
	if r.exitedNonZero && len(r.failed) == 0 && len(r.failedPackages) == 0 {
		ok = false
		_, _ = fmt.Fprintln(w, "FAIL go test exited with an error and named no failed test")
	}
	if len(r.passed) == 0 {
		ok = false
		_, _ = fmt.Fprintln(w, "FAIL no test ran")
	}
	_, _ = fmt.Fprintf(w, "%d passed, %d failed, %d skipped\n", len(r.passed), len(r.failed), len(r.skipped))
	return ok
}

// endings begin the lines with which a test's process ends.
var endings = []string{"panic: ", "fatal error: "}

// endedBy returns the line with which the package's process ended before all of its tests
// had run, empty if it did not. The tests after it are in no event.
func (r *result) endedBy(pkg string) string {
	for name, lines := range r.output {
		if packageOf(name) != pkg {
			continue
		}
		for _, line := range lines {
			for _, ending := range endings {
				if strings.HasPrefix(line, ending) {
					return strings.TrimSpace(line)
				}
			}
		}
	}
	return ""
}

// evaluateListed reports whether each listed test failed, or at least ran if its
// entry says that it fails at times. It prints the tests for which this does
// not hold and the flaky ones that passed.
func (r *result) evaluateListed(known knownRed, w io.Writer) bool {
	ok := true
	for _, name := range sorted(known) {
		if _, failed := r.failed[name]; failed {
			continue
		}
		_, passed := r.passed[name]
		switch {
		case known[name] == failsAlways:
			ok = false
			_, _ = fmt.Fprintf(w, "FAIL %s is in KNOWN-RED.txt but did not fail: take it off the list\n", name)
		case !passed:
			ok = false
			_, _ = fmt.Fprintf(w, "FAIL %s is in KNOWN-RED.txt but did not run\n", name)
		default:
			_, _ = fmt.Fprintf(w, "KNOWN-RED passed, listed as failing at times: %s\n", name)
		}
	}
	return ok
}

func packageOf(test string) string { return test[:strings.LastIndexByte(test, '.')] }

func sorted[V any](set map[string]V) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
