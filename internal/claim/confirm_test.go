package claim

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/model"
	"github.com/swiftvane/swiftvane/internal/platform"
	"github.com/swiftvane/swiftvane/internal/verdict"
)

// fakePlatform answers with the next of its revisions; zero is a failure.
type fakePlatform struct {
	platform.Client
	revisions []model.Revision
}

func (f *fakePlatform) HostList(context.Context, model.Revision, time.Duration) (*model.HostList, error) {
	next := f.revisions[0]
	f.revisions = f.revisions[1:]
	if next == 0 {
		return nil, errors.New("down")
	}
	return &model.HostList{Revision: next}, nil
}

func TestConfirmationsIgnoreStaleAnswersAndFailures(t *testing.T) {
	c := NewConfirmations(&fakePlatform{revisions: []model.Revision{5, 4, 0}})
	_, err := c.HostList(context.Background(), 0, 0)
	require.NoError(t, err)
	revision, at := c.Latest()
	require.Equal(t, model.Revision(5), revision)
	require.False(t, at.IsZero())

	_, err = c.HostList(context.Background(), 0, 0)
	require.NoError(t, err)
	_, err = c.HostList(context.Background(), 0, 0)
	require.Error(t, err)
	revision, again := c.Latest()
	require.Equal(t, model.Revision(5), revision)
	require.Equal(t, at, again)
}

func TestAtMostOnceUnconfirmedListIsNotActedBy(t *testing.T) {
	f := newFleet(t, 3, 1)
	f.crash("host-1")
	f.confirmed = map[model.HostID]time.Time{"host-1": time.Now().Add(-ListLease - time.Second)}
	h := f.start("host-1", time.Now().Add(-time.Hour), hostList(1, hostIDs(3)))
	requireRefusal(t, claimAt(h, mint(t)), verdict.ClaimListStale, verdict.NotRun)

	require.True(t, h.submit(func(c *control) { c.s.fetchConfirmation("host-2", c.now()) }))
	require.Eventually(t, func() bool { return claimAt(h, mint(t)) == nil }, 30*time.Second, time.Millisecond,
		"another host that reads the platform confirms the list")
}
