package fleet

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
	"github.com/swiftvane/swiftvane/internal/hosts/platform"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

// Defaults of Options.
const (
	DefaultGossipInterval = time.Second
	DefaultWatchWait      = 30 * time.Second
	DefaultPollInterval   = 30 * time.Second
	DefaultJoinTimeout    = 3 * time.Second
	DefaultCallTimeout    = 2 * time.Second
	DefaultPauseGap       = time.Second
	DefaultLeavingHold    = 10 * time.Second
	DefaultRetention      = 10 * time.Minute
	DefaultFanout         = 4
	DefaultPartners       = 16
)

// Options configures a Fleet. Zero values of optional fields mean the defaults.
type Options struct {
	// Self is this host, as its settings describe it.
	Self      model.Host
	Platform  platform.Client
	Transport peer.Transport
	Registrar peer.Registrar
	// Directory resolves peer addresses for the transport. It must not be nil.
	Directory *Directory
	Scope     metrics.Scope
	Log       logrus.FieldLogger
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time

	// GossipInterval is the mean time between digest swaps, each with one random
	// partner.
	GossipInterval time.Duration
	// WatchWait is how long one watch waits at the platform.
	WatchWait time.Duration
	// PollInterval is the minimum time between reads by a host that does not
	// watch. The interval in use grows with the fleet to keep the total rate
	// constant.
	PollInterval time.Duration
	// JoinTimeout limits how long a starting host asks peers for newer revisions
	// before it becomes ready.
	JoinTimeout time.Duration
	// CallTimeout limits one call to a peer, and one read of the platform beyond
	// the time that it waits for a change.
	CallTimeout time.Duration
	// PauseGap is the time without a tick that counts as a pause.
	PauseGap time.Duration
	// LeavingHold is how long a target or host stays out of use after it was
	// marked as leaving, whatever newer host lists say, since host lists lag.
	LeavingHold time.Duration
	// Retention is how long old host lists are kept.
	Retention time.Duration
	// Fanout is the number of peers to which a change is pushed.
	Fanout int
	// Partners is the number of peers with which this host swaps digests.
	Partners int
}

func (o *Options) check() error {
	switch {
	case o.Self.ID == "":
		return eris.New("fleet: self.id: must not be empty")
	case o.Platform == nil:
		return eris.New("fleet: platform: must not be nil")
	case o.Transport == nil || o.Registrar == nil:
		return eris.New("fleet: transport, registrar: must not be nil")
	case o.Directory == nil:
		return eris.New("fleet: directory: must not be nil")
	}
	return nil
}

func (o *Options) setDefaults() {
	setDefault(&o.GossipInterval, DefaultGossipInterval)
	setDefault(&o.WatchWait, DefaultWatchWait)
	setDefault(&o.PollInterval, DefaultPollInterval)
	setDefault(&o.JoinTimeout, DefaultJoinTimeout)
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	setDefault(&o.PauseGap, DefaultPauseGap)
	setDefault(&o.LeavingHold, DefaultLeavingHold)
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.Fanout, DefaultFanout)
	setDefault(&o.Partners, DefaultPartners)
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
