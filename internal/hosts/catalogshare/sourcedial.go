package catalogshare

import (
	"math/rand/v2"
	"slices"
	"time"
)

// adoptLink takes the link of a background dial if that dial has finished.
func (s *Source) adoptLink() { s.awaitDial(0) }

// awaitDial waits for a running background dial, at most for the given time, and
// takes its link.
func (s *Source) awaitDial(within time.Duration) {
	if !s.dialing {
		return
	}
	timer := time.NewTimer(within)
	defer timer.Stop()
	var l *link
	select {
	case l = <-s.dialResult:
	default:
		select {
		case l = <-s.dialResult:
		case <-timer.C:
			return
		}
	}
	s.dialing = false
	s.setLink(l)
	if l == nil {
		s.delayDial()
		return
	}
	// A reader that has restarted or been cut off knows none of these.
	l.send(s.opts.Hub.knownReports())
}

// delayDial sets the time of the next dial after a link was lost or could not be opened.
func (s *Source) delayDial() {
	pause := linkRetryPause
	if !s.linked {
		pause = unlinkedRetryPause
	}
	s.retryAt = time.Now().Add(pause/2 + rand.N(pause))
}

// dropLink closes the link, if there is one.
func (s *Source) dropLink() {
	if s.link != nil {
		s.link.end()
		s.opts.Hub.adoptPending(&s.link.pending)
		s.setLink(nil)
	}
}

// dialInBackground dials a reader without delaying calls to the store. It does
// nothing on a reader, during another dial and before retryAt.
func (s *Source) dialInBackground() {
	if s.dialing || s.IsReader() || time.Now().Before(s.retryAt) {
		return
	}
	s.dialing = true
	go func() { s.dialResult <- s.dialAny() }()
}

// dialAny opens a link to one of the readers, in random order. It returns nil if
// none accepts.
func (s *Source) dialAny() *link {
	readers := slices.Clone(s.opts.Readers())
	rand.Shuffle(len(readers), func(i, j int) { readers[i], readers[j] = readers[j], readers[i] })
	for _, addr := range readers {
		if addr == s.opts.Self {
			continue
		}
		l, err := dial(addr, s.opts.Hub.self, false, s.opts.Log)
		if err == nil {
			return l
		}
		s.opts.Log.WithError(err).WithField("peer", addr).Debug("dialing a catalog link failed")
	}
	return nil
}
