package admission

import (
	"container/list"
	"sync"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// callerState is the admission state of one caller.
type callerState struct {
	caller model.CallerID
	// tokens is the fill level of the token bucket at filledAt.
	tokens   float64
	filledAt time.Time
	inflight int
	// place is the caller's element in the list of its shard.
	place *list.Element
}

// shard holds the states of a part of the callers.
type shard struct {
	mu      sync.Mutex
	callers map[model.CallerID]*callerState
	// recent lists the callers, the most recently seen first.
	recent *list.List
	// max is the maximum number of callers.
	max int
}

func newShard(maxCallers int) *shard {
	return &shard{callers: make(map[model.CallerID]*callerState), recent: list.New(), max: maxCallers}
}

// admit admits one query of the caller or returns the reason for its refusal.
func (s *shard) admit(caller model.CallerID, p *config.Policy, now time.Time, fair *fairShare) (*callerState, *verdict.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.state(caller, p, now)
	if st == nil {
		return nil, verdict.Refuse(verdict.HostOverloaded, overloadRetryAfter, "this host tracks as many callers as it can")
	}
	st.refill(p, now)
	if st.tokens < 1 {
		wait := time.Duration((1 - st.tokens) / p.CallerRate * float64(time.Second))
		return nil, verdict.Refuse(verdict.CallerRateLimited, wait, "the caller's limit is %g queries a second, %d at once", p.CallerRate, p.CallerBurst)
	}
	if st.inflight >= p.CallerInflight {
		return nil, verdict.Refuse(verdict.CallerInflightLimit, inflightRetryAfter, "the caller's limit is %d queries in flight", p.CallerInflight)
	}
	if !fair.enter(st.inflight) {
		return nil, verdict.Refuse(verdict.HostOverloaded, overloadRetryAfter, "this host is at its limit of %d queries in flight", fair.limit)
	}
	st.tokens--
	st.inflight++
	return st, nil
}

// state returns the state of the caller, which it creates if necessary. If the
// shard is full, it evicts another caller. It returns nil if all tracked callers
// have queries in flight. The caller of state holds the lock.
func (s *shard) state(caller model.CallerID, p *config.Policy, now time.Time) *callerState {
	if st, ok := s.callers[caller]; ok {
		s.recent.MoveToFront(st.place)
		return st
	}
	if len(s.callers) >= s.max && !s.evict() {
		return nil
	}
	st := &callerState{caller: caller, tokens: float64(p.CallerBurst), filledAt: now}
	st.place = s.recent.PushFront(st)
	s.callers[caller] = st
	return st
}

// evict removes the least recently seen caller without queries in flight and reports
// whether there was one.
func (s *shard) evict() bool {
	for e := s.recent.Back(); e != nil; e = e.Prev() {
		st := e.Value.(*callerState)
		if st.inflight == 0 {
			s.recent.Remove(e)
			delete(s.callers, st.caller)
			return true
		}
	}
	return false
}

// release ends one query of the caller.
func (s *shard) release(st *callerState, fair *fairShare) {
	s.mu.Lock()
	st.inflight--
	fair.leave(st.inflight)
	s.mu.Unlock()
}

// refill adds the tokens accrued since filledAt, up to the burst size.
func (st *callerState) refill(p *config.Policy, now time.Time) {
	if elapsed := now.Sub(st.filledAt); elapsed > 0 {
		st.tokens += elapsed.Seconds() * p.CallerRate
		st.filledAt = now
	}
	st.tokens = min(st.tokens, float64(p.CallerBurst))
}
