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
	// syncInterval is how often a host requests missed notes from a random host.
	syncInterval = 5 * time.Second
	// commandQueue is the capacity of the queue to the control goroutine.
	commandQueue = 1024
)

// records is an immutable copy of the table that the query path reads.
type records map[Fingerprint]*Record

// Service is one host's instance of the fleet-wide quarantine.
type Service struct {
	opts      Options
	counter   counters
	commands  chan func(*control)
	published atomic.Pointer[records]
	permits   atomic.Uint64
}

// New returns a service and registers its message handler. Messages are processed
// while Run runs.
func New(opts Options) *Service {
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	s := &Service{opts: opts, counter: newCounters(opts.Scope), commands: make(chan func(*control), commandQueue)}
	s.published.Store(&records{})
	opts.Registrar.Handle(peer.KindQuarantineNote, s.handle)
	return s
}

// Run is the control goroutine, which owns the table. It returns nil once ctx ends.
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

// CheckQuery returns an error if the query is quarantined.
func (s *Service) CheckQuery(caller model.CallerID, workload model.WorkloadName, body []byte) *verdict.Error {
	if len(*s.published.Load()) == 0 {
		return nil
	}
	return s.Check(FingerprintOf(caller, workload, body))
}

// Check returns an error if the request is quarantined.
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

// suspectOnShard reports whether the request is a suspect on the shard.
func (s *Service) suspectOnShard(fingerprint Fingerprint, shard model.ShardID) bool {
	record := (*s.published.Load())[fingerprint]
	return record != nil && record.suspectOnShard(shard, s.opts.Clock().UnixMilli())
}

// OnCrash records that a target crashed while it ran req. It does not block.
func (s *Service) OnCrash(req *subquery.Request) {
	s.recordCrash(req, func() {})
}

// submit queues a command for the control goroutine. It returns false if the queue
// is full.
func (s *Service) submit(command func(*control)) bool {
	select {
	case s.commands <- command:
		return true
	default:
		s.counter.overloaded.Inc(1)
		return false
	}
}
