package catalog

import "cmp"

// Position is a point in the history of the platform's store. When the store comes
// back from an older copy, its era rises by one and its revisions go back and are
// given out again, so that a revision means something only within its era.
type Position struct {
	// Era is 0 for a store that does not report one.
	Era      int64
	Revision int64
}

// Compare returns a negative number if p is earlier than other, a positive one if it
// is later, and 0 if they are equal. Each position of an era is later than all of an
// earlier era.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Before reports whether p is earlier than other.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// IsZero reports whether nothing has been read yet.
func (p Position) IsZero() bool { return p.Revision == 0 }

// Later returns the later one of p and other.
func (p Position) Later(other Position) Position {
	if p.Before(other) {
		return other
	}
	return p
}
