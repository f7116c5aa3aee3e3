package claimmodel

import (
	"slices"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/claim/rules"
)

// apply returns the state that follows w after an event.
func (w *world) apply(e *event) *world {
	n := w.clone()
	switch e.kind {
	case sendEvent:
		n.send(e.host)
	case deliverEvent:
		n.messages = slices.Delete(n.messages, n.find(&e.message), n.find(&e.message)+1)
		n.deliver(&e.message)
	case duplicateEvent:
		n.used.duplicates++
		n.deliver(&e.message)
	case actEvent:
		n.act(e.host)
	case answerEvent:
		n.answer(e.host)
	case abandonEvent:
		n.abandon(e.host)
	case publishEvent:
		n.published = 1
	case readListEvent:
		n.readList(n.process(e.host).history)
	case mergeEvent:
		n.merge(n.process(e.host).history, n.processes[e.other])
	default:
		n.applyFault(e)
	}
	return n
}

func (w *world) applyFault(e *event) {
	switch e.kind {
	case crashEvent:
		w.used.crashes++
		w.processes[e.host] = nil
	case startEvent:
		p := w.newProcess(w.used.crashes + 1)
		w.readList(p.history)
		w.processes[e.host] = p
	case pauseEvent:
		w.used.pauses++
		w.process(e.host).paused = true
	case resumeEvent:
		p := w.process(e.host)
		p.paused = false
		p.pauses++
		p.history.MarkIncomplete(w.now)
		w.tick(p)
	case fillEvent:
		w.used.fills++
		p := w.process(e.host)
		p.witness.Vote(w.claim(otherID, p, e.host, w.used.fills), p.history.Status(w.now), w.now)
	case jumpEvent:
		w.now = w.now.Add(w.s.Jumps[w.used.jumps])
		w.used.jumps++
		for i := range w.processes {
			if w.running(i) {
				w.tick(w.process(i))
			}
		}
	}
}

// tick does what the control goroutine of the service does at every tick.
func (w *world) tick(p *process) {
	if w.s.After == nil {
		w.confirmAll(p)
	}
	p.history.Prune(w.now)
	p.witness.RemoveExpired(w.now)
}

// confirmAll confirms the only host list for every second up to now, so that no
// lease expires in between.
func (w *world) confirmAll(p *process) {
	for at := begin; at <= w.now; at = at.Add(time.Second) {
		p.history.Confirm(at, w.now)
	}
}

func (w *world) find(m *message) int {
	return slices.IndexFunc(w.messages, func(other message) bool {
		return other.kind == m.kind && other.attempt == m.attempt && other.host == m.host && other.vote.Answer == m.vote.Answer
	})
}

func (w *world) claim(id string, p *process, host, seq int) *rules.Claim {
	return &rules.Claim{
		ID:          id,
		IssuedAt:    w.issuedAt(),
		Fingerprint: fingerprint,
		Attempt:     rules.Attempt{Host: w.s.Hosts[host], Incarnation: model.Incarnation(p.generation), Seq: uint64(seq)},
		Revisions:   p.history.Revisions(),
	}
}

// send starts an attempt. If its host is a witness, it votes immediately; the
// other witnesses receive claim messages.
func (w *world) send(host int) {
	p := w.process(host)
	i := len(w.attempts)
	a := &attempt{host: host, generation: p.generation, pauses: p.pauses, minted: w.s.Minted && i == 0, deadline: w.now.Add(Deadline)}
	w.attempts = append(w.attempts, a)
	status := p.history.Status(w.now)
	expired := w.issuedAt().Add(Retention) <= w.now && !w.s.Disabled.RetentionRule
	if expired || !status.Confirmed && !w.s.Disabled.ListLease {
		a.phase = ended
		w.reportFailure(a)
		return
	}
	a.claim = *w.claim(requestID, p, host, i+1)
	var sets [][]model.HostID
	for _, hosts := range p.history.Hosts() {
		sets = append(sets, hosts.Witnesses(requestID))
	}
	a.tally = rules.NewTally(sets, status.Complete, w.s.Disabled)
	for _, id := range a.witnesses() {
		if id == w.s.Hosts[host] {
			a.tally.Add(id, p.witness.Vote(&a.claim, status, w.now))
			continue
		}
		w.post(message{kind: claimMessage, attempt: i, host: w.index(id)})
	}
}

func (w *world) deliver(m *message) {
	if m.kind == voteMessage {
		if phase := w.attempts[m.attempt].phase; phase == collecting || phase == ended && w.s.Disabled.LateVotes {
			w.attempt(m.attempt).tally.Add(w.s.Hosts[m.host], m.vote)
		}
		return
	}
	p := w.process(m.host)
	claim := &w.attempts[m.attempt].claim
	switch m.kind {
	case claimMessage:
		vote := p.witness.Vote(claim, p.history.Status(w.now), w.now)
		if a := w.attempts[m.attempt]; a.phase == collecting || w.s.Disabled.LateVotes {
			w.post(message{kind: voteMessage, attempt: m.attempt, host: m.host, vote: vote})
		}
	case releaseMessage:
		p.witness.Release(claim, w.now)
	case outcomeMessage:
		p.witness.Record(claim, []byte{'o'}, []byte{'o'}, w.now)
	}
}

// act sends the request to a target, which runs it at once.
func (w *world) act(i int) {
	a := w.attempt(i)
	a.phase = ran
	w.runs++
	switch {
	case w.runs > 1:
		w.fail("double run")
	case i < w.sentBeforeNotRun:
		w.fail("ran after not_run was reported to its caller")
	case w.now >= a.deadline:
		w.fail("ran after its deadline")
	}
}

// answer reports to the caller that the request ran, and sends the outcome to the
// witnesses if the scenario records outcomes.
func (w *world) answer(i int) {
	a := w.attempt(i)
	a.phase = answered
	if w.s.Outcomes {
		w.broadcast(i, outcomeMessage)
	}
	w.dropVotes(i)
}

// abandon abandons an attempt that has not run and releases it at its witnesses.
func (w *world) abandon(i int) {
	a := w.attempt(i)
	a.phase = ended
	a.tally.Abandon()
	w.broadcast(i, releaseMessage)
	if !w.s.Disabled.LateVotes {
		w.dropVotes(i)
	}
	if a.tally.Outcome() == nil && !a.tally.Seen(rules.Held) {
		w.reportFailure(a)
	}
	if a.tally.Outcome() != nil && w.runs == 0 {
		w.fail("reported an outcome, but the request never ran")
	}
}

// reportFailure reports a failed attempt to the caller, as NotRun if the rules
// allow it.
func (w *world) reportFailure(a *attempt) {
	if !rules.MayReportNotRun(a.minted, w.s.Disabled) {
		return
	}
	w.sentBeforeNotRun = len(w.attempts)
	if w.runs > 0 {
		w.fail("reported not_run, but the request ran")
	}
}

func (w *world) broadcast(i int, kind messageKind) {
	a := w.attempts[i]
	for _, id := range a.witnesses() {
		m := message{kind: kind, attempt: i, host: w.index(id)}
		if m.host != a.host {
			w.post(m)
			continue
		}
		w.deliver(&m)
	}
}

func (w *world) dropVotes(i int) {
	w.messages = slices.DeleteFunc(w.messages, func(m message) bool { return m.kind == voteMessage && m.attempt == i })
}
