package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

// maxPermitLease bounds how long a lost permit keeps a suspect from running.
const maxPermitLease = 30 * time.Second

// permitKey names what a permit is for.
type permitKey struct {
	fingerprint Fingerprint
	shard       model.ShardID
}

func (m *message) permitKey() permitKey { return permitKey{m.Fingerprint, m.Shard} }

// permit lets one host run a suspect on one target.
type permit struct {
	holder model.HostID
	number uint64
	until  time.Time
}

// arbiter returns the host that gives permits for a suspect: the one of highest
// rendezvous weight in the newest host list.
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

// grant gives a permit to the first to ask. The arbiter's own notes go first: it
// may know of a crash that the asking host does not.
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
	lease := min(time.Duration(m.LeaseMS)*time.Millisecond, maxPermitLease)
	c.permits[m.permitKey()] = permit{holder: holder, number: m.Permit, until: now.Add(lease)}
	return true
}

func (c *control) giveBack(holder model.HostID, m *message) {
	if held, ok := c.permits[m.permitKey()]; ok && held.holder == holder && held.number == m.Permit {
		delete(c.permits, m.permitKey())
	}
}

// askPermit asks the arbiter to let a suspect run until deadline. done runs once.
func (s *Service) askPermit(key permitKey, deadline time.Time, done func(granted bool, number uint64)) {
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
		ask := func(c *control) { done(c.grant(arbiter, m), number) }
		if !s.submit(ask) {
			done(false, number)
		}
		return
	}
	s.opts.Transport.Go(arbiter, peer.KindQuarantineNote, m, deadline, func(reply cbor.RawMessage, err error) {
		var a answer
		done(err == nil && cbor.Unmarshal(reply, &a) == nil && a.Granted, number)
	})
}

// returnPermit gives a permit back to its arbiter.
func (s *Service) returnPermit(key permitKey, number uint64) {
	m := &message{Operation: operationDone, Fingerprint: key.fingerprint, Shard: key.shard, Permit: number}
	arbiter := s.arbiter(key.fingerprint)
	if arbiter == s.opts.Self.ID {
		s.submit(func(c *control) { c.giveBack(arbiter, m) })
		return
	}
	if err := s.opts.Transport.Send(arbiter, peer.KindQuarantineNote, m); err != nil {
		s.opts.Log.WithError(err).WithField("host", arbiter).Debug("permit not given back")
	}
}
