package adminapi

import "time"

// PathEvacuations is the path, on a host's metrics address, at which a host on the users'
// platform lists the evacuations of failure domains as []Evacuation.
const PathEvacuations = "/evacuations"

// Evacuation is the evacuation of one failure domain as one host sees it.
type Evacuation struct {
	Domain string `json:"domain"`
	// Revision is that of the operator's write in the store.
	Revision int64 `json:"revision"`
	// Since is when the host learned of it.
	Since time.Time `json:"since"`
	// Targets is the number of known targets in the domain, InFlight that of the host's
	// calls that these have not answered yet.
	Targets  int `json:"targets"`
	InFlight int `json:"calls_in_flight"`
}
