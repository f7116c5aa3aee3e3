package rules

// maxReleased bounds the processes with released attempts that an entry may hold
// before the witness stops granting the id.
const maxReleased = 8

// entry is the state that a witness holds for one id.
type entry struct {
	issuedAt    Time
	fingerprint uint64
	holder      Attempt
	held        bool
	outcome     []byte
	// released maps each process to the highest Seq that it released. A claim that
	// arrives after its own release must not be granted.
	released map[process]uint64
}

func (e *entry) release(a Attempt) {
	if e.held && e.holder == a {
		e.held = false
		e.holder = Attempt{}
	}
	if e.released == nil {
		e.released = make(map[process]uint64, 1)
	}
	e.released[a.process()] = max(e.released[a.process()], a.Seq)
}

func (e *entry) wasReleased(a Attempt) bool {
	seq, ok := e.released[a.process()]
	return ok && a.Seq <= seq
}
