package claimmodel

// check records a violation if the state breaks the liveness property of
// Scenario.Recoverable.
func (w *world) check() {
	if w.violation != "" || !w.s.Recoverable || w.runs > 0 {
		return
	}
	for _, a := range w.attempts {
		if a.phase != ended {
			return
		}
	}
	for _, host := range w.s.Entries {
		if !w.runsWhenSentTo(host) {
			w.fail("the request can no longer run")
			return
		}
	}
}

// runsWhenSentTo reports whether the request can run if it is sent to host once
// more and all messages are delivered.
func (w *world) runsWhenSentTo(host int) bool {
	if !w.running(host) {
		return true
	}
	n := w.clone()
	n.drain()
	n.send(host)
	n.drain()
	last := n.attempts[len(n.attempts)-1]
	return last.tally != nil && n.mayAct(last)
}

// drain delivers all messages in sending order and drops undeliverable ones.
func (w *world) drain() {
	for len(w.messages) > 0 {
		m := w.messages[0]
		w.messages = w.messages[1:]
		if w.deliverable(&m) {
			w.deliver(&m)
		}
	}
}
