package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/bounds"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

// maxPermitLease bounds how long a permit that is never released prevents its
// suspect from running.
const maxPermitLease = 30 * time.Second

// permitKey identifies what a permit is for: a request on a shard.
type permitKey struct {
	fingerprint Fingerprint
	shard       model.ShardID
}

func (m *message) permitKey() permitKey { return permitKey{m.Fingerprint, m.Shard} }

// permit allows one host to run a suspect on one target until its lease ends.
type permit struct {
	holder model.HostID
	number uint64
	until  time.Time
}

// arbiter returns the host that grants the permits for a suspect: the one with the
// highest rendezvous weight in the newest host list.
func (s *Service) arbiter(fingerprint Fingerprint) model.HostID {
	best, bestWeight := s.opts.Self.ID, uint64(0)
	list := s.opts.Views.Current().Hosts
	if list == nil {
		return best
	}
	for i := range list.Hosts {
		id := list.Hosts[i].ID
		if weight := xxhash.Sum64String(fingerprint.String() + string(id)); weight >= bestWeight {
			best, bestWeight = id, weight
		}
	}
	return best
}

// grant reports whether the holder gets the permit that m requests. It refuses if
// another permit is leased, or if the request is quarantined on the arbiter, which
// may have notes that the requesting host does not have yet.
func (c *control) grant(holder model.HostID, m *message) bool {
	now := c.s.opts.Clock()
	if record := c.table.records[m.Fingerprint]; record != nil {
		if state, _ := record.state(now.UnixMilli()); state == Quarantined {
			return false
		}
	}
	if held, ok := c.permits[m.permitKey()]; ok && now.Before(held.until) {
		return held.holder == holder && held.number == m.Permit
	}
	lease := min(bounds.Period(m.LeaseMS, time.Millisecond), maxPermitLease)
	c.permits[m.permitKey()] = permit{holder: holder, number: m.Permit, until: now.Add(lease)}
	return true
}

// releasePermit deletes the permit if the holder still has it.
func (c *control) releasePermit(holder model.HostID, m *message) {
	if held, ok := c.permits[m.permitKey()]; ok && held.holder == holder && held.number == m.Permit {
		delete(c.permits, m.permitKey())
	}
}

// requestPermit requests a permit until deadline from the arbiter. done runs once.
func (s *Service) requestPermit(key permitKey, deadline time.Time, done func(granted bool, number uint64)) {
	number := s.permits.Add(1)
	m := &message{
		Operation:   operationPermit,
		Fingerprint: key.fingerprint,
		Shard:       key.shard,
		Permit:      number,
		LeaseMS:     time.Until(deadline).Milliseconds() + 1,
	}
	arbiter := s.arbiter(key.fingerprint)
	if arbiter == s.opts.Self.ID {
		command := func(c *control) { done(c.grant(arbiter, m), number) }
		if !s.submit(command) {
			done(false, number)
		}
		return
	}
	s.opts.Transport.Go(arbiter, peer.KindQuarantineNote, m, deadline, func(reply cbor.RawMessage, err error) {
		var a answer
		done(err == nil && cbor.Unmarshal(reply, &a) == nil && a.Granted, number)
	})
}

// returnPermit releases a permit at its arbiter.
func (s *Service) returnPermit(key permitKey, number uint64) {
	m := &message{Operation: operationReleasePermit, Fingerprint: key.fingerprint, Shard: key.shard, Permit: number}
	arbiter := s.arbiter(key.fingerprint)
	if arbiter == s.opts.Self.ID {
		s.submit(func(c *control) { c.releasePermit(arbiter, m) })
		return
	}
	if err := s.opts.Transport.Send(arbiter, peer.KindQuarantineNote, m); err != nil {
		s.opts.Log.WithError(err).WithField("host", arbiter).Debug("failed to release a permit")
	}
}
