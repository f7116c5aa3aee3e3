package catalogsync

import "time"

// Doubt is what a host does not believe of an older copy from which the store came back.
// Hosts that start meanwhile, which have no memory of their own, must not get it.
type Doubt struct {
	// Withheld has the keys of entries that show targets as ready which have left or are
	// leaving. They are not passed on before Until unless they are written again.
	Withheld []string
	Until    time.Time
	// Released has the keys that were withheld and are believed now.
	Released []string
}

// isZero reports whether there is nothing to tell.
func (d Doubt) isZero() bool { return len(d.Withheld) == 0 && len(d.Released) == 0 }

// takeDoubt returns what has been withheld or released since the last call.
func (s *state) takeDoubt() Doubt {
	d := s.doubt
	d.Until = s.restore.until
	s.doubt = Doubt{}
	return d
}
