package admission

import (
	"container/list"
	"sync"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// callerState is what is remembered of one caller.
type callerState struct {
	caller   model.CallerID
	tokens   float64
	filledAt time.Time
	inflight int
	place    *list.Element
}

// shard holds a part of the callers, the least recently seen last.
type shard struct {
	mu      sync.Mutex
	callers map[model.CallerID]*callerState
	recent  *list.List
	max     int
}

func newShard(maxCallers int) *shard {
	return &shard{callers: make(map[model.CallerID]*callerState), recent: list.New(), max: maxCallers}
}

// take admits one query of the caller or says why not.
func (s *shard) take(caller model.CallerID, p *config.Policy, now time.Time, fair *fairShare) (*callerState, *verdict.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.state(caller, p, now)
	if st == nil {
		return nil, verdict.Refuse(verdict.HostOverloaded, overloadRetryAfter, "this host tracks as many callers as it can")
	}
	st.fill(p, now)
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

// state returns the caller's state, making room for it if need be. It returns
// nil if every caller remembered has queries in flight.
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

// evict forgets the least recently seen caller with nothing in flight.
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

func (s *shard) release(st *callerState, fair *fairShare) {
	s.mu.Lock()
	st.inflight--
	fair.leave(st.inflight)
	s.mu.Unlock()
}

// fill adds the tokens earned since the last time.
func (st *callerState) fill(p *config.Policy, now time.Time) {
	if elapsed := now.Sub(st.filledAt); elapsed > 0 {
		st.tokens += elapsed.Seconds() * p.CallerRate
		st.filledAt = now
	}
	st.tokens = min(st.tokens, float64(p.CallerBurst))
}
