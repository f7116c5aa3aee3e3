package edge

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/decision/extrabudget"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/hosts/catalogshare"
	"github.com/swiftvane/swiftvane/internal/hosts/catalogsync"
	"github.com/swiftvane/swiftvane/internal/querypath/relay"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// Options are a host's settings and its adapters for the platform.
type Options struct {
	Host          string
	FailureDomain string
	// Regions has the regions of this host and of the failure domains, for routes with
	// home regions.
	Regions    catalog.Regions
	CallerAddr string
	ReadyAddr  string
	ReadyPath  string
	// StopWithin is the time from the stop signal until the process is killed.
	StopWithin time.Duration
	// DrainWithin is how long a target that reports that it is leaving may still be
	// used.
	DrainWithin time.Duration
	// EvacuateWithin is the time within which an evacuation must be in effect; zero if
	// it is unknown.
	EvacuateWithin time.Duration
	// Extra bounds the extra sub-requests of a service, summed over all hosts.
	Extra extrabudget.Limit
	// Cold bounds the requests to cold targets, summed over all hosts.
	Cold ColdBound
	// PeerAddr is the listen address for links of other hosts; empty for none.
	// Readers returns the addresses of the hosts that read the store for the
	// others.
	PeerAddr string
	Readers  func() []string
	// Capacity is the host's processor capacity in thousandths of a core.
	Capacity int
	// MemoryBytes is the memory from which on the process is killed; 0 for no limit.
	MemoryBytes int64
	// LimitSmallFleets limits admission under overload also in fleets without gatherers.
	LimitSmallFleets bool
	// DoubtClock replaces time.Now in catalogsync.Hooks; nil except in tests.
	DoubtClock func() time.Time
	// Policy is relay.Adaptive except in measurements.
	Policy relay.Policy
	// FirstStart is set while the whole fleet starts for the first time and no
	// caller waits yet.
	FirstStart bool
	// Store reads the platform's store; Decode decodes its entries.
	Store       catalogsync.Source
	Decode      catalogshare.Decoder
	CallerCodec exchange.CallerCodec
	TargetCodec exchange.TargetCodec
	// Dialer opens connections to targets; nil for TCP.
	Dialer targetpool.Dialer
	// MetricsAddr is the listen address for metrics; empty for none.
	MetricsAddr string
	Log         logrus.FieldLogger
}

// ownExtra returns the bound on extra sub-requests of which the host takes its share.
func (o *Options) ownExtra() extrabudget.Limit {
	limit := o.Extra
	limit.Ratio *= extraRatioShare
	return limit
}
