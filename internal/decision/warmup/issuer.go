package warmup

// Issuer numbers the lists of one reader. Each change of the list gets a new generation, so
// that a host notices a change that was reverted before it asked again. The zero value has
// issued no list.
type Issuer struct {
	current    List
	generation uint64
}

// Issue makes the list the current one and returns its generation, which is at least 1.
func (i *Issuer) Issue(list List) uint64 {
	if i.generation == 0 || !i.current.Equal(&list) {
		i.current = list
		i.generation++
	}
	return i.generation
}
