package claim

import (
	"context"
	"sync"
	"time"

	"github.com/swiftvane/swiftvane/internal/model"
	"github.com/swiftvane/swiftvane/internal/platform"
)

// Confirmations is a platform.Client that remembers when the platform last named
// which host list. The claim service acts by a list only for ListLease after
// that.
type Confirmations struct {
	platform.Client
	mu       sync.Mutex
	revision model.Revision
	at       time.Time
}

// NewConfirmations returns Confirmations that read through client.
func NewConfirmations(client platform.Client) *Confirmations {
	return &Confirmations{Client: client}
}

// HostList implements platform.Client.
func (c *Confirmations) HostList(ctx context.Context, after model.Revision, wait time.Duration) (*model.HostList, error) {
	// The list was the newest at some time after the call began.
	began := time.Now()
	list, err := c.Client.HostList(ctx, after, wait)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if list.Revision >= c.revision && began.After(c.at) {
		c.revision, c.at = list.Revision, began
	}
	return list, nil
}

// Latest returns the newest revision that the platform named, and when it last
// did so; a stale answer counts for nothing.
func (c *Confirmations) Latest() (model.Revision, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision, c.at
}
