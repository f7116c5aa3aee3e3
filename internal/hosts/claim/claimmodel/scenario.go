package claimmodel

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/claim/rules"
)

// Limits of the modelled protocol. The durations relate to each other as in the
// service, but are short enough to be covered in a few time steps.
const (
	Retention   = 4 * time.Second
	ClockMargin = time.Second
	ListLease   = 3 * time.Second
	// Deadline is the time after its start during which an attempt may send the
	// request to a target.
	Deadline = 2 * time.Second
)

// Scenario defines and bounds one exploration.
type Scenario struct {
	Name string
	// Hosts are all hosts. Before and After are the indexes of the hosts in the host
	// list before and after its change; After is nil if the list does not change.
	Hosts         []model.HostID
	Before, After []int
	// Entries are the indexes of the hosts to which the caller sends, in this order.
	Entries []int
	// Minted means that the host of the first attempt generated the id.
	Minted bool
	// Crashes, Pauses, Duplicates and Fills bound the number of such events. A
	// crashed host restarts without state. A fill is a claim of another id at a
	// witness.
	Crashes, Pauses, Duplicates, Fills int
	// Faulty are the indexes of the hosts that may crash or pause; nil means all.
	Faulty []int
	// Unaware are the indexes of the hosts that never read the published host list.
	Unaware []int
	// Jumps are the durations by which time advances, each once, in this order.
	Jumps []time.Duration
	// Outcomes means that the outcome of an answered attempt is sent to its
	// witnesses.
	Outcomes bool
	// HistorySources are the indexes of the hosts whose histories other hosts merge.
	HistorySources []int
	// Issued is the issue time of the id by its issuer's clock, relative to the start
	// of the exploration.
	Issued time.Duration
	// MaxEntries bounds the ids that each witness holds; zero means 1<<20.
	MaxEntries int
	// Disabled are the disabled rules.
	Disabled rules.DisabledRules
	// Recoverable requires that in every state without a run and without an attempt
	// in progress, the request can run if it is sent once more and all messages are
	// delivered.
	Recoverable bool
	// MaxStates bounds the number of states; exceeding it is an error.
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
