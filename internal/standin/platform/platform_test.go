package platform

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	wire "github.com/swiftvane/swiftvane/internal/hosts/platform"
)

const longWait = time.Minute

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T) (*Platform, *wire.HTTPClient) {
	t.Helper()
	p, err := Start(Settings{})
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p, wire.NewHTTPClient(p.Addr())
}

func defaultsKey(value string) map[string]json.RawMessage {
	return map[string]json.RawMessage{"defaults": json.RawMessage(value)}
}

func TestWatchReturnsNextRevision(t *testing.T) {
	p, client := start(t)
	got := make(chan *config.Document, 1)
	go func() {
		doc, err := client.Document(context.Background(), 1, longWait)
		if err == nil {
			got <- doc
		}
		close(got)
	}()
	require.Eventually(t, func() bool { return p.Calls().Waiting == 1 }, longWait, time.Millisecond)
	require.Equal(t, model.Revision(2), p.Publish(defaultsKey(`{"a":1}`)))
	doc := <-got
	require.NotNil(t, doc)
	require.Equal(t, model.Revision(2), doc.Revision)
	require.JSONEq(t, `{"a":1}`, string(doc.Keys["defaults"]))
	require.Equal(t, 1, p.Calls().Config)
}

func TestRemovedKeyIsMissingFromDocument(t *testing.T) {
	p, client := start(t)
	p.Publish(defaultsKey(`1`))
	p.Publish(nil, "defaults")
	doc, err := client.Document(t.Context(), 0, 0)
	require.NoError(t, err)
	require.Equal(t, model.Revision(3), doc.Revision)
	require.Empty(t, doc.Keys)
}

func TestStaleRevisionServesOlderDocument(t *testing.T) {
	p, client := start(t)
	p.Publish(defaultsKey(`1`))
	p.Publish(defaultsKey(`2`))
	p.SetFaults(Faults{StaleRevision: 2})
	doc, err := client.Document(t.Context(), 0, 0)
	require.NoError(t, err)
	require.Equal(t, model.Revision(2), doc.Revision)
	require.Equal(t, "1", string(doc.Keys["defaults"]))
}

func TestConflictServesDifferentDocumentsOfSameRevision(t *testing.T) {
	p, client := start(t)
	p.SetFaults(Faults{Conflict: defaultsKey(`7`)})
	first, err := client.Document(t.Context(), 0, 0)
	require.NoError(t, err)
	second, err := client.Document(t.Context(), 0, 0)
	require.NoError(t, err)
	require.Equal(t, first.Revision, second.Revision)
	require.NotEqual(t, first.Keys, second.Keys)
}

func TestWatchReturnsDelayedHostList(t *testing.T) {
	p, client := start(t)
	p.SetFaults(Faults{HostLagMS: 100})
	p.SetHosts([]model.Host{{ID: "h1"}}, nil)
	list, err := client.HostList(t.Context(), 1, longWait)
	require.NoError(t, err)
	require.Equal(t, model.Revision(2), list.Revision)
	require.Equal(t, model.HostID("h1"), list.Hosts[0].ID)
}

func TestDownPlatformIsUnreachable(t *testing.T) {
	p, client := start(t)
	p.SetFaults(Faults{Down: true})
	_, err := client.Document(t.Context(), 0, 0)
	var platformErr *wire.Error
	require.ErrorAs(t, err, &platformErr)
	require.Equal(t, wire.Unreachable, platformErr.Kind)
}

func TestOversizedValueIsRefusedWithItsKey(t *testing.T) {
	p, client := start(t)
	p.Publish(defaultsKey(`"` + strings.Repeat("x", wire.MaxValueBytes) + `"`))
	_, err := client.Document(t.Context(), 0, 0)
	var platformErr *wire.Error
	require.ErrorAs(t, err, &platformErr)
	require.Equal(t, wire.TooLarge, platformErr.Kind)
	require.Equal(t, "defaults", platformErr.Key)
}

func TestCancelledContextEndsWatch(t *testing.T) {
	p, client := start(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := client.Document(ctx, 1, longWait)
		ended <- err
	}()
	require.Eventually(t, func() bool { return p.Calls().Waiting == 1 }, longWait, time.Millisecond)
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
}
