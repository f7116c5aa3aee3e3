package claimmodel

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Names of the scenarios.
const (
	TwoHosts              = "resend to another host"
	SameHost              = "resend to the same host"
	Minted                = "resend of an id that a host generated"
	Outcomes              = "recorded outcome"
	Duplicates            = "duplicated messages"
	Restart               = "restart without state, clock of the issuer ahead"
	Pause                 = "pause past the deadline"
	Expiry                = "resend after the retention"
	Full                  = "full witness"
	WitnessesReplaced     = "all witnesses replaced"
	WitnessesReplacedLate = "all witnesses replaced, old host without the new list, list window passed"
)

// hosts returns n host ids.
func hosts(n int) []model.HostID { return []model.HostID{"A", "B", "C", "D", "E"}[:n] }

// listWindow is how long a superseded host list remains in force, as
// rules.Limits.ListWindow computes it.
const listWindow = Retention + ListLease + 2*ClockMargin

// issuedLater is an issue time at which a process that started at begin may vote
// on the id.
const issuedLater = ClockMargin + time.Second

// Small returns the scenarios that are explored in every test run.
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
		{Name: WitnessesReplaced, Hosts: hosts(3), Before: []int{0}, After: []int{1, 2}, Unaware: []int{0}, Entries: []int{0, 1}, HistorySources: []int{0}, Issued: issuedLater, Jumps: []time.Duration{issuedLater}},
		{Name: WitnessesReplacedLate, Hosts: hosts(3), Before: []int{0}, After: []int{1, 2}, Unaware: []int{0}, Entries: []int{0, 1}, Issued: listWindow, Jumps: []time.Duration{listWindow}},
	}
}

// Large returns the scenarios whose exploration takes minutes.
func Large() []*Scenario {
	abc := []int{0, 1, 2}
	return []*Scenario{
		{Name: Duplicates + ", three hosts", Hosts: hosts(3), Before: abc, Entries: []int{0, 1}, Duplicates: 1},
		{Name: Restart + ", any host", Hosts: hosts(3), Before: abc, Entries: []int{0, 1}, Crashes: 2},
		{Name: Pause + ", three hosts", Hosts: hosts(3), Before: abc, Entries: []int{0, 1}, Pauses: 1, Faulty: []int{0}, Jumps: []time.Duration{Deadline}},
		{Name: WitnessesReplacedLate + ", histories shared", Hosts: hosts(3), Before: []int{0}, After: []int{1, 2}, Unaware: []int{0}, Entries: []int{0, 1}, HistorySources: []int{0, 1, 2}, Issued: listWindow, Jumps: []time.Duration{listWindow}},
	}
}

// Find returns the small scenario with the given name, nil if there is none.
func Find(name string) *Scenario {
	for _, s := range Small() {
		if s.Name == name {
			return s
		}
	}
	return nil
}
