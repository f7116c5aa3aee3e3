package reach

import "time"

const (
	// cutShare is the share of lost targets from which on a host counts as cut off, and
	// backShare the one below which it no longer does.
	cutShare  = 0.5
	backShare = 0.25
	// doubtShare is the share of lost targets from which on a host asks others whether they
	// reach more.
	doubtShare = 0.1
	// cutLeast is the least number of lost targets of a host that is cut off and still reaches
	// some.
	cutLeast = 2
	// quietLeast is the least number of targets that must be silent at once to count as lost
	// together.
	quietLeast = 4
	// betterFactor bounds the share of lost targets of a host that serves for another one, as
	// a factor of the other's.
	betterFactor = 0.5
)

// Counts is how many of its targets a host reaches and how many it has lost. Targets of which
// it knows neither are not counted.
type Counts struct {
	Reached int
	Lost    int
}

// Share returns the share of lost targets, 0 if none is known.
func (c Counts) Share() float64 {
	if c.Lost == 0 {
		return 0
	}
	return float64(c.Lost) / float64(c.Lost+c.Reached)
}

// Cut reports whether a host with these counts is cut off. was is whether it counted as such
// before.
func (c Counts) Cut(was bool) bool {
	if was {
		return c.Share() >= backShare
	}
	return c.Share() >= cutShare && (c.Lost >= cutLeast || c.Reached == 0)
}

// Unable reports whether a host with this share of lost targets takes no requests of others.
func Unable(lostShare float64) bool { return lostShare >= cutShare }

// Doubtful reports whether a host with this share of lost targets should ask others.
func Doubtful(lostShare float64) bool { return lostShare >= doubtShare }

// Better reports whether a host with the share theirs of lost targets can serve requests for
// one with the share own.
func Better(theirs, own float64) bool { return Doubtful(own) && theirs <= betterFactor*own }

// QuietTogether reports whether targets that are overdue count as lost together: no target has
// been heard from for the time quiet.
func QuietTogether(overdue int, quiet time.Duration) bool {
	return overdue >= quietLeast && Quiet(quiet)
}

// Quiet reports whether no target has been heard from for so long that links may be lost.
func Quiet(quiet time.Duration) bool { return quiet >= overdueLeast }
