package gatherlink

import (
	"errors"
	"net/http"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

var errUnknownFrame = errors.New("the gatherer sent a frame of an unknown kind, or an answer without content")

// attempt is a sweep on its way to one gatherer.
type attempt struct {
	*passage
	link     *link
	id       uint64
	outcomes <-chan outcome
	// accepted is set once the gatherer has accepted the sweep, overdue once it has not
	// done so in time.
	accepted bool
	overdue  bool
	// ranBefore is set if the sweep may have run on another gatherer.
	ranBefore bool
}

// wait waits for the gatherer, at first for the given time.
func (a *attempt) wait(within time.Duration) *exchange.Answer {
	timer := time.NewTimer(within)
	defer timer.Stop()
	for {
		select {
		case o := <-a.outcomes:
			answer, ended := a.outcome(o)
			if ended {
				return answer
			}
			// A gatherer that has accepted a sweep answers in time or says why not; the end
			// of its process or of the link is an outcome, too.
			timer.Reset(time.Until(a.final))
		case <-timer.C:
			if !a.accepted && !a.overdue {
				// This host may have been slow itself: what has arrived is read first.
				a.overdue = true
				timer.Reset(readGrace)
				continue
			}
			if answer := a.readyAnswer(); answer != nil {
				return answer
			}
			return a.timedOut()
		case <-a.gone:
			if answer := a.readyAnswer(); answer != nil {
				return answer
			}
			a.link.withdraw(a.id)
			return &exchange.Answer{Status: 499, Reason: exchange.CallerLeft, CloseConnection: true}
		}
	}
}

// readyAnswer returns the gatherer's answer if it has already arrived, otherwise nil.
func (a *attempt) readyAnswer() *exchange.Answer {
	for {
		select {
		case o := <-a.outcomes:
			if o.kind == kindAnswer {
				answer, _ := a.outcome(o)
				return answer
			}
		default:
			return nil
		}
	}
}

// outcome processes a frame of the gatherer and reports whether the attempt has ended,
// with an answer or, if another gatherer has to be asked, with nil.
func (a *attempt) outcome(o outcome) (*exchange.Answer, bool) {
	switch {
	case o.err != nil:
		a.link.forget(a.id)
		a.unserved(a.link, lost, o.err)
		return nil, true
	case o.kind == kindAccepted:
		a.accepted = true
		return nil, false
	case o.kind == kindAnswer && o.answer != nil:
		a.link.forget(a.id)
		return a.received(o.answer), true
	case o.kind != kindRefused:
		// The frame of another build says nothing of whether the sweep ran.
		a.link.forget(a.id)
		a.unserved(a.link, lost, errUnknownFrame)
		return nil, true
	default:
		// A gatherer that refuses a sweep has not run it, even if it had accepted it.
		a.mayHaveRun = a.ranBefore
		a.link.forget(a.id)
		a.refused(o.otherRoute)
		return nil, true
	}
}

// refused processes the refusal of a gatherer. One whose route for the request differs may still
// take other requests that are handed over.
func (a *attempt) refused(otherRoute bool) {
	a.disagreed = a.disagreed || otherRoute
	if otherRoute && a.client.opts.HandsOver {
		a.unserved(a.link, differs, nil)
		return
	}
	a.link.avoid(a.client.opts.Now(), avoidRefusing)
	a.unserved(a.link, refused, nil)
}

// received returns the gatherer's answer, nil if a caller must not get what it holds. The
// request may have run then.
func (a *attempt) received(from *answer) *exchange.Answer {
	if err := from.check(len(a.route.Shards)); err != nil {
		a.unserved(a.link, lost, err)
		return nil
	}
	return a.truthful(a.answered(a.link, from))
}

// truthful returns the answer, or a failure in place of a refusal if the sweep may have
// run on a gatherer that was asked before: a refusal states that it has not run.
func (a *attempt) truthful(answer *exchange.Answer) *exchange.Answer {
	if answer.Status != http.StatusServiceUnavailable || !a.ranBefore {
		return answer
	}
	return &exchange.Answer{Status: http.StatusBadGateway, Reason: exchange.GathererLost, Trace: answer.Trace}
}

// timedOut ends an attempt whose gatherer did not accept the sweep or answer in time.
func (a *attempt) timedOut() *exchange.Answer {
	now := time.Now()
	a.link.withdraw(a.id)
	a.link.avoid(a.client.opts.Now(), avoidSilent)
	if !now.Before(a.final) {
		a.unserved(a.link, expired, nil)
		return &exchange.Answer{Status: 504, Reason: exchange.TimedOut}
	}
	a.unserved(a.link, silent, nil)
	return nil
}
