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
	// ListLease is how long a host uses a host list after the platform last reported
	// it as the newest.
	ListLease = requestid.RetentionWindow
)

// DefaultHistoryWait is how long a process refuses claims if it finds no host with
// a complete history of host lists. For that long an unreachable host may use a
// list that this process does not have.
func DefaultHistoryWait() time.Duration {
	limits := newLimits(&Options{})
	return limits.ListWindow()
}

// Options configures a Service.
type Options struct {
	Self        model.Host
	Incarnation model.Incarnation
	Views       view.Source
	// HostLists returns the host lists that this host has received, newest last. If
	// nil, only the list of the current view is used.
	HostLists func() []model.HostList
	// ListConfirmedAt returns the time of the last query in which the platform
	// reported the newest host list of this host as its newest. The query came from
	// this host or from a host that forwarded the result. If nil, the host list
	// always counts as confirmed.
	ListConfirmedAt func() time.Time
	Transport       peer.Transport
	Registrar       peer.Registrar
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
	// HistoryWait is how long this process refuses claims if it finds no host with a
	// complete history of host lists. It must be DefaultHistoryWait, or zero if the
	// operator guarantees that no host of an earlier fleet is running.
	HistoryWait time.Duration
	// MaxEntries bounds the ids held; zero means DefaultMaxEntries.
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
