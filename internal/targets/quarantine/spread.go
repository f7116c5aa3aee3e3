package quarantine

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

const (
	// spreadTimeout bounds the wait until other hosts confirm a note.
	spreadTimeout = 100 * time.Millisecond
	// directHosts is the number of other hosts up to which a note is sent to all of
	// them. In a larger fleet it is sent to spreadFanOut random hosts, and each
	// host forwards notes that are new to it.
	directHosts  = 64
	spreadFanOut = 6
	syncTimeout  = 2 * time.Second
)

// others returns the other hosts of the newest host list.
func (s *Service) others() []model.HostID {
	list := s.opts.Views.Current().Hosts
	if list == nil {
		return nil
	}
	ids := make([]model.HostID, 0, len(list.Hosts))
	for i := range list.Hosts {
		if id := list.Hosts[i].ID; id != s.opts.Self.ID {
			ids = append(ids, id)
		}
	}
	return ids
}

// spread sends changed records to other hosts. done runs once each of them has
// answered or failed.
func (s *Service) spread(changed []*Record, done func()) {
	hosts := s.others()
	if len(hosts) > directHosts {
		rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
		hosts = hosts[:spreadFanOut]
	}
	if len(hosts) == 0 {
		done()
		return
	}
	var left atomic.Int64
	left.Store(int64(len(hosts)))
	m := &message{Operation: operationNotes, Records: changed}
	deadline := time.Now().Add(spreadTimeout)
	for _, host := range hosts {
		s.opts.Transport.Go(host, peer.KindQuarantineNote, m, deadline, func(cbor.RawMessage, error) {
			if left.Add(-1) == 0 {
				done()
			}
		})
	}
}

// syncWithRandomHost requests the records of a random host unless its digest is
// equal, and merges them.
func (s *Service) syncWithRandomHost(digest uint64) {
	hosts := s.others()
	if len(hosts) == 0 {
		return
	}
	m := &message{Operation: operationSync, Digest: digest}
	host := hosts[rand.IntN(len(hosts))]
	s.opts.Transport.Go(host, peer.KindQuarantineNote, m, time.Now().Add(syncTimeout), func(reply cbor.RawMessage, err error) {
		var a answer
		if err != nil || decode(reply, &a) != nil || len(a.Records) == 0 {
			return
		}
		s.submit(func(c *control) { c.mergeAndSpread(readable(a.Records), func() {}) })
	})
}
