package deployment

import (
	"fmt"
	"time"

	"github.com/swiftvane/swiftvane/internal/standin/searcher"
)

// Crash configures requests that crash the searchers that run them.
type Crash struct {
	// Requests reports whether a request crashes the searchers that run it.
	Requests func(requestID string) bool
	// DownFor is the time after which a crashed searcher runs again.
	DownFor time.Duration
	// EntryFor is how long the entry of a crashed searcher stays in the store.
	EntryFor time.Duration
	// SameID makes a searcher run again under its id, with a later start. Otherwise it gets
	// a new id.
	SameID bool
	// Silence, if it is set, is called with the address of a crashed searcher in place of the
	// end of its connections. The searcher runs again at another address.
	Silence func(addr string)
}

// crash ends a searcher that runs a request which crashes it, and starts it again later.
func (d *Deployment) crash(s *searcher.Searcher, service string) {
	addr := s.Addr()
	again := addr
	if d.Options.Crash.Silence != nil {
		d.Options.Crash.Silence(addr)
		again = anyPort
	} else {
		s.Close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashes++
	id, born := s.ID(), int64(d.crashes)+1
	if !d.Options.Crash.SameID {
		id = fmt.Sprintf("%s-%d", service, 1000+d.crashes)
		d.after(d.Options.Crash.EntryFor, func() { d.RemoveEntry(s.ID()) })
	}
	d.after(d.Options.Crash.DownFor, func() { d.startAgain(service, id, again, born) })
}

// startAgain starts a searcher that had crashed.
func (d *Deployment) startAgain(service, id, addr string, born int64) {
	s, err := d.RunSearcher(service, id, addr)
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		s.Close()
		return
	}
	d.restarted = append(d.restarted, s)
	_ = d.writeEntry(service, id, s.Addr(), false, born)
}

// after calls f after some time unless the deployment is closed by then. The caller holds the
// lock.
func (d *Deployment) after(wait time.Duration, f func()) {
	d.timers = append(d.timers, time.AfterFunc(wait, f))
}

// Crashes returns the number of searchers that requests have crashed.
func (d *Deployment) Crashes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashes
}

// closeRestarted stops the searchers that had crashed and starts no more.
func (d *Deployment) closeRestarted() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, timer := range d.timers {
		timer.Stop()
	}
	for _, s := range d.restarted {
		s.Close()
	}
}
