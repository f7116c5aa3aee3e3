package catalogshare

import (
	"context"
	"time"
)

// observeInterval is the pause before another reader is dialed again, and the time between
// two checks for new readers.
const observeInterval = 400 * time.Millisecond

// Observe keeps a link to each other reader while this host is a reader, so that
// all readers exchange host counts and crash reports. It runs until ctx ends.
func (s *Source) Observe(ctx context.Context) {
	running := map[string]bool{}
	ended := make(chan string)
	for {
		if s.IsReader() {
			for _, addr := range s.opts.Readers() {
				if addr != s.opts.Self && !running[addr] {
					running[addr] = true
					go s.observe(ctx, addr, ended)
				}
			}
		}
		timer := time.NewTimer(observeInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case addr := <-ended:
			delete(running, addr)
		case <-timer.C:
		}
		timer.Stop()
	}
}

// observe handles one link to another reader until it ends, then sends the
// reader's address on ended after a pause.
func (s *Source) observe(ctx context.Context, addr string, ended chan<- string) {
	if l, err := dial(addr, s.opts.Hub.self, true, s.opts.Log); err == nil {
		pending := &pendingCrashes{}
		for m := range l.messages {
			s.opts.Hub.recordReaderCounts(addr, m)
			s.opts.Hub.learnCrashes(m, pending)
			s.opts.Hub.addLeaving(m)
			s.opts.Hub.addReaderPauses(m.Pauses)
			s.opts.Hub.addLimitNotices(m.Limits)
			s.opts.Hub.setReaderLimitDemand(addr, m.LimitDemand)
		}
		s.opts.Hub.adoptPending(pending)
	}
	timer := time.NewTimer(observeInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	select {
	case ended <- addr:
	case <-ctx.Done():
	}
}
