package edge

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/stall"
	"github.com/swiftvane/swiftvane/internal/hosts/catalogshare"
)

// learnStalls learns when targets pause. It is called by the goroutine that tracks the
// fleet's size.
func (e *Edge) learnStalls(now time.Time) {
	// Sub uses the monotonic readings of both times, which Round removes.
	if e.clock.Stepped(now.Round(0), now.Sub(e.started)) {
		e.directory.ForgetStalls()
	}
	e.directory.LearnStalls(now)
}

// pauseHooks connect the links to other hosts with what this host knows of pauses.
func (e *Edge) pauseHooks() catalogshare.PauseHooks {
	return catalogshare.PauseHooks{
		AddEnds:  func(ends []stall.SharedEnd) { e.directory.AddStallEnds(ends, time.Now()) },
		AddTable: func(table []stall.SharedPattern) { e.directory.AddStallTable(table, time.Now()) },
		Table:    func() []stall.SharedPattern { return e.directory.StallTable(time.Now()) },
	}
}
