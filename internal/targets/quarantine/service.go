package quarantine

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

const (
	tickInterval = time.Second
	// syncInterval is how often one random host is asked for notes missed.
	syncInterval = 5 * time.Second
	commandQueue = 1024
)

// records is the copy of the table that traffic reads.
type records map[Fingerprint]*Record

// Service is a host's part of the quarantine.
type Service struct {
	opts      Options
	counter   counters
	commands  chan func(*control)
	published atomic.Pointer[records]
	permits   atomic.Uint64
}

// New returns a service whose message handler is registered. Notes are taken in
// once Run runs.
func New(opts Options) *Service {
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	s := &Service{opts: opts, counter: newCounters(opts.Scope), commands: make(chan func(*control), commandQueue)}
	s.published.Store(&records{})
	opts.Registrar.Handle(peer.KindQuarantineNote, s.handle)
	return s
}

// Run owns the table until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	c := newControl(s)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.tick()
		case command := <-s.commands:
			command(c)
		}
	}
}

// CheckQuery refuses a query that is quarantined.
func (s *Service) CheckQuery(caller model.CallerID, workload model.WorkloadName, body []byte) *verdict.Error {
	if len(*s.published.Load()) == 0 {
		return nil
	}
	return s.Check(FingerprintOf(caller, workload, body))
}

// Check refuses a request that is quarantined.
func (s *Service) Check(fingerprint Fingerprint) *verdict.Error {
	state, left := s.stateOf(fingerprint)
	if state != Quarantined {
		return nil
	}
	s.counter.refused.Inc(1)
	return verdict.Refuse(verdict.Quarantined, left,
		"requests with fingerprint %s crashed targets; an operator can release it", fingerprint)
}

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// stateOf returns a request's state and how long it lasts.
func (s *Service) stateOf(fingerprint Fingerprint) (State, time.Duration) {
	record := (*s.published.Load())[fingerprint]
	if record == nil {
		return Clean, 0
	}
	now := s.opts.Clock().UnixMilli()
	state, until := record.state(now)
	return state, time.Duration(until-now) * time.Millisecond
}

// suspectIn reports whether a crash counts against the request on one shard.
func (s *Service) suspectIn(fingerprint Fingerprint, shard model.ShardID) bool {
	record := (*s.published.Load())[fingerprint]
	return record != nil && record.suspectIn(shard, s.opts.Clock().UnixMilli())
}

// OnCrash notes that a target died while it ran req. It does not block.
func (s *Service) OnCrash(req *subquery.Request) {
	s.noteCrash(req, func() {})
}

// submit hands a command to the control goroutine; false if too many wait.
func (s *Service) submit(command func(*control)) bool {
	select {
	case s.commands <- command:
		return true
	default:
		s.counter.overloaded.Inc(1)
		return false
	}
}
