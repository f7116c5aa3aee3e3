package claimmodel

// check marks a state that breaks the liveness property of the scenario.
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
			w.fail("the request can never run any more")
			return
		}
	}
}

// runsWhenSentTo reports whether the request, sent once more, can run once every
// message has arrived.
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

// drain delivers all messages in the order in which they were sent.
func (w *world) drain() {
	for len(w.messages) > 0 {
		m := w.messages[0]
		w.messages = w.messages[1:]
		if w.deliverable(&m) {
			w.deliver(&m)
		}
	}
}
