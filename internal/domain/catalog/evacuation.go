package catalog

import "time"

// Evacuation is an operator's request that nothing more is sent to the targets of a
// failure domain.
type Evacuation struct {
	Domain string
	// Position is that of the write in the store.
	Position Position
	// Since is when this host learned of it.
	Since time.Time
}
