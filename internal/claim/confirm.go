package claim

import (
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/claim/rules"
	"github.com/swiftvane/swiftvane/internal/model"
	"github.com/swiftvane/swiftvane/internal/peer"
)

// confirmInterval is how often one random host is asked when the platform last
// named the host list: most hosts of a large fleet read the platform rarely.
const confirmInterval = 15 * time.Second

// confirmation is what this host knows of the newest list.
func (c *control) confirmation() *confirmation {
	return &confirmation{Revision: c.history.Newest(), AgoMS: max(c.now()-c.history.ConfirmedAt(), 0)}
}

func (c *control) askConfirmation() {
	asked := c.s.opts.Clock()
	hosts := c.s.opts.Views.Current().Hosts
	if hosts == nil || len(hosts.Hosts) < 2 || asked.Sub(c.confirmAskedAt) < confirmInterval {
		return
	}
	c.confirmAskedAt = asked
	if host := hosts.Hosts[rand.IntN(len(hosts.Hosts))].ID; host != c.s.opts.Self.ID {
		c.s.fetchConfirmation(host, rules.At(asked))
	}
}

// fetchConfirmation takes over another host's confirmation. That was at the
// earliest as long ago as it says before the question was sent.
func (s *Service) fetchConfirmation(from model.HostID, asked rules.Time) {
	request := &claimMessage{Operation: operationConfirm}
	s.opts.Transport.Go(from, peer.KindClaim, request, time.Now().Add(historyTimeout), func(reply cbor.RawMessage, err error) {
		var got confirmation
		if err != nil || cbor.Unmarshal(reply, &got) != nil {
			return
		}
		s.submit(func(c *control) { c.takeConfirmation(from, &got, asked) })
	})
}

func (c *control) takeConfirmation(from model.HostID, got *confirmation, asked rules.Time) {
	switch newest := c.history.Newest(); {
	case got.Revision > newest:
		c.s.fetchHistory(from, func() {})
	case got.Revision == newest:
		c.history.Confirm(asked-got.AgoMS, c.now())
	}
}
