// Package platform is the client of the platform's configuration service and host
// list. Both can only be read and watched. It applies no policy: stale and
// repeated answers are returned as they are.
package platform

import (
	"context"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Client reads what the platform publishes. Each call counts as one against the
// platform's limit, a waiting watch included.
type Client interface {
	// Document returns the published document. If wait is positive it waits up
	// to that long for a revision other than after.
	Document(ctx context.Context, after model.Revision, wait time.Duration) (*config.Document, error)
	// HostList returns the host list, waiting in the same way.
	HostList(ctx context.Context, after model.Revision, wait time.Duration) (*model.HostList, error)
}
