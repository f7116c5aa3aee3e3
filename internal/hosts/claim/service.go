package claim

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/swiftvane/swiftvane/internal/hosts/claim/rules"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

const (
	// tickInterval is the interval at which host lists are read and expired ids
	// removed.
	tickInterval = 100 * time.Millisecond
	// pauseThreshold is the gap between runs of the control goroutine from which this
	// process counts as paused.
	pauseThreshold = 3 * time.Second
	// commandQueueSize bounds the commands waiting for the control goroutine; further
	// ones are refused.
	commandQueueSize = 4096
)

// Service is the Claimer of a host and the witness for other hosts.
type Service struct {
	opts    Options
	limits  rules.Limits
	counter counters
	// commands are run by the control goroutine, in order.
	commands chan func(*control)
	lists    atomic.Pointer[listSnapshot]
	seq      atomic.Uint64
	// attempts maps each id that this host is claiming or running to its *attempt,
	// which is nil until the claim is won.
	attempts sync.Map
}

var _ Claimer = (*Service)(nil)

// New returns a service and registers its message handlers. It grants no claims
// until Run is called.
func New(opts Options) *Service {
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	if opts.MaxEntries == 0 {
		opts.MaxEntries = DefaultMaxEntries
	}
	s := &Service{
		opts:     opts,
		limits:   newLimits(&opts),
		counter:  newCounters(opts.Scope),
		commands: make(chan func(*control), commandQueueSize),
	}
	s.lists.Store(&listSnapshot{})
	opts.Registrar.Handle(peer.KindClaim, s.handleClaim)
	opts.Registrar.Handle(peer.KindOutcome, s.handleOutcome)
	return s
}

// Run runs the control goroutine, which owns the witness table and the host lists,
// until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	c := newControl(s)
	c.tick()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.tick()
		case command := <-s.commands:
			c.detectPause()
			command(c)
		}
	}
}

// submit queues a command for the control goroutine. It reports false and drops
// the command if the queue is full.
func (s *Service) submit(command func(*control)) bool {
	select {
	case s.commands <- command:
		return true
	default:
		s.counter.overloaded.Inc(1)
		return false
	}
}
