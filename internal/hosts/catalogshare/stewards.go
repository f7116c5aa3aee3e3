package catalogshare

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/decision/warmup"
)

const (
	// ownSource is the source of a list that this host has issued itself.
	ownSource = 0
	// stewardsInterval is the time between two questions of a host that may have a share of
	// cold targets. Two may be lost before its right lapses (warmup.FreshFor).
	stewardsInterval = 400 * time.Millisecond
	// idleStewardsInterval is the time for a host that has none; it only learns of changes.
	idleStewardsInterval = 2 * time.Second
)

// stewards is a question about the list of stewards or its answer.
type stewards struct {
	// Question is the number of the question; the answer repeats it.
	Question uint64 `cbor:"1,keyasint"`
	// Generation is, in a question, the one that the asking host has, and in an answer the
	// current one; 0 for none.
	Generation uint64 `cbor:"2,keyasint,omitempty"`
	// List is only in an answer whose generation differs from the question's.
	List *warmup.List `cbor:"3,keyasint,omitempty"`
}

// Stewards returns the list of stewards that this host may use at now, nil for none. It must
// not be changed.
func (h *Hub) Stewards(now time.Time) *warmup.List {
	lease := h.lease.Load()
	if lease == nil {
		return nil
	}
	return lease.List(now)
}

// answerStewards answers a follower's question, nil for none. The answer has no counts of
// hosts, which take time that grows with the number of followers.
func (h *Hub) answerStewards(f *follower, question *stewards) {
	if question == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.followers[f] {
		return
	}
	now := time.Now()
	list, generation := h.issueStewards(now)
	answer := &stewards{Question: question.Question, Generation: generation}
	if generation != question.Generation {
		answer.List = &list
	}
	h.queue(f, h.encoded(&message{
		Era: h.position.Era, Revision: h.position.Revision, AgeMS: now.Sub(h.asOf).Milliseconds(), Stewards: answer,
	}))
}

// confirmStewards records an answer to a question that was asked at asked. Calls must not
// overlap.
func (h *Hub) confirmStewards(source, generation uint64, list warmup.List, asked, now time.Time) {
	if generation == 0 {
		h.lease.Store(nil)
		return
	}
	lease := warmup.Lease{}
	if old := h.lease.Load(); old != nil {
		lease = *old
	}
	if _, known := lease.Known(source); known != generation {
		h.log.WithFields(logrus.Fields{
			"generation": generation, "hosts": list.Hosts, "stewards": len(list.Stewards), "gatherers": len(list.Gatherers),
		}).Info("new list of the hosts that send to cold targets")
	}
	lease.Confirm(source, generation, list, asked, now)
	h.lease.Store(&lease)
}

// RenewStewards asks for a confirmation of the list of stewards if it is time to. issues is
// set if this host issues a list itself. It is called periodically by one goroutine while a
// service bounds the requests to its cold targets.
func (s *Source) RenewStewards(issues bool) {
	if issues {
		s.renewOwnStewards()
		return
	}
	l := s.currentLink()
	if l == nil {
		return
	}
	if question := s.nextQuestion(l, time.Now()); question != nil {
		l.send(&message{Stewards: question})
	}
}

// renewOwnStewards renews the right to the list that this host issues itself.
func (s *Source) renewOwnStewards() {
	h := s.opts.Hub
	asked := time.Now()
	h.mu.Lock()
	list, generation := h.issueStewards(asked)
	h.mu.Unlock()
	s.leaseMu.Lock()
	defer s.leaseMu.Unlock()
	// The list has been known only since it was issued, even if this host was frozen meanwhile.
	h.confirmStewards(ownSource, generation, list, asked, time.Now())
}

// nextQuestion returns the question to ask over a link, nil if it isn't time yet.
func (s *Source) nextQuestion(l *link, now time.Time) *stewards {
	s.leaseMu.Lock()
	defer s.leaseMu.Unlock()
	list, generation := s.knownStewards(l)
	interval := stewardsInterval
	if generation > 0 && !list.Includes(s.opts.Self) {
		interval = idleStewardsInterval
	}
	if now.Sub(s.asked.last()) < interval {
		return nil
	}
	return &stewards{Question: s.asked.next(now), Generation: generation}
}

// DropStewards ends this host's right to send to cold targets.
func (s *Source) DropStewards() {
	s.leaseMu.Lock()
	defer s.leaseMu.Unlock()
	s.opts.Hub.lease.Store(nil)
}

// knownStewards returns the list that came last over the link, and its generation.
func (s *Source) knownStewards(l *link) (list warmup.List, generation uint64) {
	if lease := s.opts.Hub.lease.Load(); lease != nil {
		return lease.Known(l.number)
	}
	return warmup.List{}, 0
}

// confirmStewards handles a reader's answer, nil for none. One without a list that isn't of
// the known generation is to an older question and is ignored. A reader uses no list but its
// own.
func (s *Source) confirmStewards(l *link, answer *stewards) {
	if answer == nil || s.IsReader() {
		return
	}
	s.leaseMu.Lock()
	defer s.leaseMu.Unlock()
	asked, open := s.asked.time(answer.Question)
	list, known := s.knownStewards(l)
	if answer.List != nil {
		list = *answer.List
	} else if known != answer.Generation {
		return
	}
	if open {
		s.opts.Hub.confirmStewards(l.number, answer.Generation, list, asked, time.Now())
	}
}
