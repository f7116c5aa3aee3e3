package quarantine

import (
	"sync"

	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// pending is a suspect's sub-request that waits for a permit or runs.
type pending struct {
	mu        sync.Mutex
	done      func(*subquery.Answer)
	finished  bool
	cancelled bool
	started   bool
	abort     func()
}

// start runs the sub-request unless it is finished, and reports whether it did.
// run returns the function that cancels the sub-request.
func (p *pending) start(run func() func()) bool {
	p.mu.Lock()
	if p.finished {
		p.mu.Unlock()
		return false
	}
	p.started = true
	p.mu.Unlock()

	abort := run()
	p.mu.Lock()
	p.abort = abort
	cancelled := p.cancelled
	p.mu.Unlock()
	if cancelled {
		abort()
	}
	return true
}

// finish delivers the answer. Only the first call has an effect.
func (p *pending) finish(a *subquery.Answer) {
	p.mu.Lock()
	already := p.finished
	p.finished = true
	p.mu.Unlock()
	if !already {
		p.done(a)
	}
}

// cancel cancels the sub-request. Without a permit it finishes at once; otherwise
// the dispatcher delivers the answer.
func (p *pending) cancel() {
	p.mu.Lock()
	p.cancelled = true
	started, abort := p.started, p.abort
	p.mu.Unlock()
	if abort != nil {
		abort()
		return
	}
	if !started {
		p.finish(&subquery.Answer{Verdict: verdict.NotRun, Reason: verdict.Cancelled})
	}
}
