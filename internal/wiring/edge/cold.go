package edge

import (
	"slices"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/warmup"
	"github.com/swiftvane/swiftvane/internal/hosts/catalogshare"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// ColdBound bounds the requests in any one second that a cold target gets from all hosts: Over
// times the rate that it sustains, plus Slack. The rate is in the configuration.
type ColdBound struct {
	Over  float64
	Slack float64
}

// coldOptions returns the options of the directory for cold targets. The hub must exist.
func (e *Edge) coldOptions() targetpool.ColdOptions {
	return targetpool.ColdOptions{
		Over: e.opts.Cold.Over, Slack: e.opts.Cold.Slack, Addr: e.opts.PeerAddr, Stewards: e.hub.Stewards,
	}
}

// updateStewards keeps up this host's right to send to cold targets, and the lists that it
// issues as a reader. It does nothing while no service bounds the requests to its cold targets.
func (e *Edge) updateStewards(hosts int, now time.Time) {
	e.directory.UpdateCold(now)
	least, most := e.directory.ColdPermits()
	if most == 0 {
		e.stopStewards()
		return
	}
	e.stewarding = true
	issues := e.issuesStewards()
	stewardship := catalogshare.Stewardship{}
	if issues {
		stewardship = catalogshare.Stewardship{
			LeastPermits: least, Permits: most, Hosts: hosts, Gathers: len(e.gatherersOf(hosts)) > 0,
		}
	}
	e.hub.SetStewardship(stewardship)
	e.source.RenewStewards(issues)
}

// stopStewards ends this host's right to send to cold targets and the lists that it issues.
func (e *Edge) stopStewards() {
	if !e.stewarding {
		return
	}
	e.stewarding = false
	e.hub.SetStewardship(catalogshare.Stewardship{})
	e.source.DropStewards()
}

// issuesStewards reports whether this host issues lists of stewards: as one of the first
// warmup.MaxReaders readers, since each reader's hosts get a part of a cold target's bound, or
// as the only host.
func (e *Edge) issuesStewards() bool {
	readers := e.opts.Readers()
	own := slices.Index(readers, e.opts.PeerAddr)
	return own >= 0 && own < warmup.MaxReaders || e.standalone()
}
