package claim

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/requestid"
	"github.com/swiftvane/swiftvane/internal/domain/view"
	"github.com/swiftvane/swiftvane/internal/hosts/claim/rules"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

const (
	// DefaultMaxEntries bounds the ids that one witness holds.
	DefaultMaxEntries = 1 << 18
	// DefaultMaxOutcomeBytes bounds the recorded outcomes that one witness holds.
	DefaultMaxOutcomeBytes = 64 << 20
	// ListLease is how long a host acts by a host list after the platform last
	// named it as the newest.
	ListLease = requestid.RetentionWindow
)

// DefaultHistoryWait is how long a process that finds no host with a complete
// history of host lists refuses claims: as long as a host that it cannot see may
// act by a list that it does not know.
func DefaultHistoryWait() time.Duration {
	limits := newLimits(&Options{})
	return limits.ListWindow()
}

// Options are what a Service is made of.
type Options struct {
	Self        model.Host
	Incarnation model.Incarnation
	Views       view.Source
	// HostLists returns the host lists that this host saw, newest last. Nil
	// leaves it at the view's.
	HostLists func() []model.HostList
	// ListConfirmedAt returns when the platform was last asked for the host list
	// and named the newest one known, by this host or one that it heard of it
	// from. Nil takes the host list for confirmed at all times.
	ListConfirmedAt func() time.Time
	Transport       peer.Transport
	Registrar       peer.Registrar
	// Clock returns the current time; nil is time.Now.
	Clock func() time.Time
	// HistoryWait is how long this process refuses claims if it finds no host
	// with a complete history of host lists. It may be zero only where the
	// operator knows that no host of an earlier fleet is alive; else it is
	// DefaultHistoryWait.
	HistoryWait time.Duration
	// MaxEntries bounds the ids held; zero is DefaultMaxEntries.
	MaxEntries int
	Scope      metrics.Scope
	Log        logrus.FieldLogger
}

func newLimits(opts *Options) rules.Limits {
	return rules.Limits{
		Retention:       requestid.RetentionWindow,
		ClockMargin:     requestid.ClockMargin,
		ListLease:       ListLease,
		HistoryWait:     opts.HistoryWait,
		MaxEntries:      opts.MaxEntries,
		MaxOutcomeBytes: DefaultMaxOutcomeBytes,
	}
}
