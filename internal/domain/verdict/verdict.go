// Package verdict defines how every layer, from the connection to a target up to
// the caller's answer, reports whether a request may have run.
//
// A layer that refuses or fails a request returns an *Error. The zero Verdict is
// Unknown, so an unset value never reports that a request did not run.
package verdict

import "fmt"

// Verdict says whether a request may have run on a target.
type Verdict uint8

const (
	// Unknown means that at least one byte of the request may have reached a
	// target that neither answered nor refused it.
	Unknown Verdict = iota
	// NotRun means that no byte of the request reached a target, or that every
	// target it reached refused it before running it.
	NotRun
	// Ran means that a target reported having run the request.
	Ran
)

var names = [...]string{Unknown: "unknown", NotRun: "not_run", Ran: "ran"}

// String returns the verdict's name as used in answers and logs.
func (v Verdict) String() string {
	if int(v) >= len(names) {
		return names[Unknown]
	}
	return names[v]
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It accepts only the names
// that String returns.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range names {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("verdict: unknown name %q", text)
}

// Combine returns the verdict of a request that consists of parts: their common
// verdict if all parts have the same one, otherwise Unknown. It returns Unknown
// if there are no parts.
func Combine(parts ...Verdict) Verdict {
	if len(parts) == 0 {
		return Unknown
	}
	first := parts[0]
	for _, part := range parts[1:] {
		if part != first {
			return Unknown
		}
	}
	return first
}
