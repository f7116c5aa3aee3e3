package claimmodel

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/claim/rules"
)

// Limits of the modelled protocol: the same relations between the durations as
// in the service, in few steps.
const (
	Retention   = 4 * time.Second
	ClockMargin = time.Second
	ListLease   = 3 * time.Second
	// Deadline is how long an attempt may act after it was sent.
	Deadline = 2 * time.Second
)

// Scenario bounds one exploration.
type Scenario struct {
	Name string
	// Hosts are all hosts; Before and After index those of the host list before
	// and after the change. After is nil for no change.
	Hosts         []model.HostID
	Before, After []int
	// Entries index the hosts that the caller sends to, in this order.
	Entries []int
	// Minted says that the first attempt's host made the id.
	Minted bool
	// Crashes, Pauses, Duplicates and Fills bound how often each happens. A crashed
	// host starts again with nothing remembered. A fill is another id that comes
	// to a witness.
	Crashes, Pauses, Duplicates, Fills int
	// Faulty index the hosts that may crash or pause; nil is all.
	Faulty []int
	// Unaware index the hosts that never read the new host list.
	Unaware []int
	// Jumps are the steps by which time moves, each once, in this order.
	Jumps []time.Duration
	// Outcomes has the answered outcome told to the witnesses.
	Outcomes bool
	// Tellers index the hosts that tell others their host lists.
	Tellers []int
	// Issued is when the id was issued, by its issuer's clock, after the begin.
	Issued time.Duration
	// MaxEntries bounds each witness's table; zero is no bound.
	MaxEntries int
	// Off are the rules left out.
	Off rules.Switches
	// Recoverable asks that from every state without an attempt in progress and
	// without a run, the request sent once more is run once all messages arrived.
	Recoverable bool
	// MaxStates bounds the exploration; reaching it is an error.
	MaxStates int
}

func (s *Scenario) limits() rules.Limits {
	l := rules.Limits{
		Retention:       Retention,
		ClockMargin:     ClockMargin,
		ListLease:       ListLease,
		MaxEntries:      s.MaxEntries,
		MaxOutcomeBytes: 1 << 20,
	}
	if l.MaxEntries == 0 {
		l.MaxEntries = 1 << 20
	}
	l.HistoryWait = l.ListWindow()
	return l
}

func (s *Scenario) list(index int) (model.Revision, []model.HostID) {
	members := s.Before
	if index == 1 {
		members = s.After
	}
	ids := make([]model.HostID, len(members))
	for i, m := range members {
		ids[i] = s.Hosts[m]
	}
	return model.Revision(index + 1), ids
}
