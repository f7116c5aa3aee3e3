package rules

// maxGivenUp bounds the processes that gave up attempts under one id; with more
// the id is granted to nobody.
const maxGivenUp = 8

// entry is what a witness holds of one id.
type entry struct {
	issuedAt    Time
	fingerprint uint64
	holder      Attempt
	held        bool
	outcome     []byte
	// givenUp is the highest Seq that each process gave up. A claim that arrives
	// after its own release must not be granted.
	givenUp map[process]uint64
}

func (e *entry) release(a Attempt) {
	if e.held && e.holder == a {
		e.held = false
		e.holder = Attempt{}
	}
	if e.givenUp == nil {
		e.givenUp = make(map[process]uint64, 1)
	}
	e.givenUp[a.process()] = max(e.givenUp[a.process()], a.Seq)
}

func (e *entry) gaveUp(a Attempt) bool {
	seq, ok := e.givenUp[a.process()]
	return ok && a.Seq <= seq
}
