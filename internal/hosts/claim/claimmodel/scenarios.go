package claimmodel

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Names of the scenarios.
const (
	TwoHosts   = "resend to another host"
	SameHost   = "resend to the same host"
	Minted     = "resend of an id that a host made"
	Outcomes   = "recorded outcome"
	Duplicates = "duplicated messages"
	Restart    = "restart with nothing remembered, issuer's clock ahead"
	Pause      = "pause past the deadline"
	Expiry     = "resend after the retention"
	Full       = "full witness"
	Moved      = "all witnesses replaced"
	MovedLate  = "all witnesses replaced, old ones unaware, window passed"
)

// hosts returns the first n names.
func hosts(n int) []model.HostID { return []model.HostID{"A", "B", "C", "D", "E"}[:n] }

// window is how long a superseded host list keeps its say.
const window = Retention + ListLease + 2*ClockMargin

// issuedLater lets a process that starts at the begin vote on the id.
const issuedLater = ClockMargin + time.Second

// Small returns the scenarios that are explored at every test run.
func Small() []*Scenario {
	abc := []int{0, 1, 2}
	return []*Scenario{
		{Name: TwoHosts, Hosts: hosts(3), Before: abc, Entries: []int{0, 1}, Recoverable: true},
		{Name: SameHost, Hosts: hosts(3), Before: abc, Entries: []int{0, 0}, Recoverable: true},
		{Name: Minted, Hosts: hosts(3), Before: abc, Entries: []int{0, 1}, Minted: true, Recoverable: true},
		{Name: Outcomes, Hosts: hosts(3), Before: abc, Entries: []int{0, 1}, Outcomes: true},
		{Name: Duplicates, Hosts: hosts(2), Before: []int{0, 1}, Entries: []int{0, 1}, Duplicates: 2, Recoverable: true},
		{Name: Restart, Hosts: hosts(3), Before: abc, Entries: []int{0, 1}, Crashes: 1, Faulty: []int{0}, Issued: ClockMargin},
		{Name: Pause, Hosts: hosts(2), Before: []int{0, 1}, Entries: []int{0, 1}, Pauses: 1, Faulty: []int{0}, Jumps: []time.Duration{Deadline}},
		{Name: Expiry, Hosts: hosts(3), Before: abc, Entries: []int{0, 1}, Jumps: []time.Duration{Retention + 2*ClockMargin + time.Second}},
		{Name: Full, Hosts: hosts(3), Before: abc, Entries: []int{0, 1}, Fills: 1, MaxEntries: 1},
		{Name: Moved, Hosts: hosts(3), Before: []int{0}, After: []int{1, 2}, Unaware: []int{0}, Entries: []int{0, 1}, Tellers: []int{0}, Issued: issuedLater, Jumps: []time.Duration{issuedLater}},
		{Name: MovedLate, Hosts: hosts(3), Before: []int{0}, After: []int{1, 2}, Unaware: []int{0}, Entries: []int{0, 1}, Issued: window, Jumps: []time.Duration{window}},
	}
}

// Large returns the scenarios that take minutes.
func Large() []*Scenario {
	abc := []int{0, 1, 2}
	return []*Scenario{
		{Name: Duplicates + ", three hosts", Hosts: hosts(3), Before: abc, Entries: []int{0, 1}, Duplicates: 1},
		{Name: Restart + ", any host", Hosts: hosts(3), Before: abc, Entries: []int{0, 1}, Crashes: 2},
		{Name: Pause + ", three hosts", Hosts: hosts(3), Before: abc, Entries: []int{0, 1}, Pauses: 1, Faulty: []int{0}, Jumps: []time.Duration{Deadline}},
		{Name: MovedLate + ", histories told", Hosts: hosts(3), Before: []int{0}, After: []int{1, 2}, Unaware: []int{0}, Entries: []int{0, 1}, Tellers: []int{0, 1, 2}, Issued: window, Jumps: []time.Duration{window}},
	}
}

// Find returns the small scenario of that name.
func Find(name string) *Scenario {
	for _, s := range Small() {
		if s.Name == name {
			return s
		}
	}
	return nil
}
