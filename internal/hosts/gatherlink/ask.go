package gatherlink

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/reach"
	"github.com/swiftvane/swiftvane/internal/domain/bounds"
)

// maxLosses bounds the targets in one question.
const maxLosses = 1024

// Loss is a target that did not answer a request, in a question to another host.
type Loss struct {
	Target string `cbor:"1,keyasint"`
	// Born distinguishes starts under one id, see catalog.Target.
	Born int64 `cbor:"2,keyasint,omitempty"`
	// SentAgoUS and LostAgoUS are the times since the request was sent and since its reply was
	// given up, in microseconds.
	SentAgoUS int64 `cbor:"3,keyasint"`
	LostAgoUS int64 `cbor:"4,keyasint"`
}

// Sent returns when the request was sent.
func (l *Loss) Sent(now time.Time) time.Time {
	return now.Add(-bounds.Period(l.SentAgoUS, time.Microsecond))
}

// Lost returns when the reply was given up.
func (l *Loss) Lost(now time.Time) time.Time {
	return now.Add(-bounds.Period(l.LostAgoUS, time.Microsecond))
}

// OnAsk sets what this host says of targets that other hosts lost. It must be set before the
// server serves links, and must not block.
func (s *Server) OnAsk(opinion func(Loss) reach.Opinion) { s.opinion = opinion }

// opinionsOf returns what this host says of targets.
func (s *Server) opinionsOf(losses []Loss) []reach.Opinion {
	opinions := make([]reach.Opinion, min(len(losses), maxLosses))
	for i := range opinions {
		if s.opinion != nil {
			opinions[i] = s.opinion(losses[i])
		}
	}
	return opinions
}

// Ask asks all linked hosts about targets that this host lost, and returns what they know together
// after the given time, or once all have answered.
func (c *Client) Ask(losses []Loss, within time.Duration) []reach.Opinion {
	known := make([]reach.Opinion, len(losses))
	late := make(chan struct{})
	timer := time.AfterFunc(within, func() { close(late) })
	defer timer.Stop()
	for _, q := range c.askAll(losses) {
		opinions := q.await(late)
		for i := range min(len(known), len(opinions)) {
			known[i] = known[i].With(opinions[i])
		}
	}
	return known
}

// question is one that was sent on a link.
type question struct {
	link    *link
	id      uint64
	answers <-chan outcome
}

// await returns the answer, nil if there is none when late is closed.
func (q *question) await(late <-chan struct{}) []reach.Opinion {
	defer q.link.forget(q.id)
	select {
	case o := <-q.answers:
		return o.opinions
	default:
	}
	select {
	case o := <-q.answers:
		return o.opinions
	case <-late:
		return nil
	}
}

// askAll sends a question on each link.
func (c *Client) askAll(losses []Loss) []question {
	c.mu.Lock()
	links := make([]*link, 0, len(c.links))
	for _, l := range c.links {
		links = append(links, l)
	}
	c.mu.Unlock()
	var sent []question
	for _, l := range links {
		answers, id, err := l.sendFrame(&frame{Kind: kindAsk, Losses: losses})
		if err == nil {
			sent = append(sent, question{link: l, id: id, answers: answers})
		}
	}
	return sent
}
