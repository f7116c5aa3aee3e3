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
	// tickInterval is how often host lists are read and old ids dropped.
	tickInterval = 100 * time.Millisecond
	// pauseLimit is the gap between ticks from which this process counts as
	// paused.
	pauseLimit = 3 * time.Second
	// commandQueue bounds the messages waiting for the control goroutine; further
	// ones are refused.
	commandQueue = 4096
)

// Service is the Claimer of a host and the witness for other hosts.
type Service struct {
	opts    Options
	limits  rules.Limits
	counter counters
	// commands are run by the control goroutine, in order.
	commands chan func(*control)
	lists    atomic.Pointer[lists]
	seq      atomic.Uint64
	// attempts holds the attempt of each id that this host is claiming or
	// running, by id.
	attempts sync.Map
}

var _ Claimer = (*Service)(nil)

// New returns a service whose message handlers are registered. It claims nothing
// until Run runs.
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
		commands: make(chan func(*control), commandQueue),
	}
	s.lists.Store(&lists{})
	opts.Registrar.Handle(peer.KindClaim, s.handleClaim)
	opts.Registrar.Handle(peer.KindOutcome, s.handleOutcome)
	return s
}

// Run owns the witness table and the host lists until ctx ends.
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
			c.noticePause()
			command(c)
		}
	}
}

// submit hands a command to the control goroutine. It reports false, and the
// command is not run, if too many are waiting.
func (s *Service) submit(command func(*control)) bool {
	select {
	case s.commands <- command:
		return true
	default:
		s.counter.overloaded.Inc(1)
		return false
	}
}
