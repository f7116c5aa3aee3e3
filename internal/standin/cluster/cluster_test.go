package cluster

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/swiftvane/swiftvane/internal/hosts/platform"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestClusterPublishesItsTargets(t *testing.T) {
	c, err := Start(Options{Shapes: []fixture.Shape{fixture.DiffReview(), fixture.OrderIssuing()}, Hosts: fixture.Hosts("127.0.0.1:1")})
	require.NoError(t, err)
	defer c.Close()
	doc, err := platform.NewHTTPClient(c.Platform.Addr()).Document(t.Context(), 0, 0)
	require.NoError(t, err)
	for _, target := range c.Targets {
		require.Contains(t, string(doc.Keys["targets/"+string(target.ID())]), target.Addr())
	}
	require.Len(t, c.Targets, 47)
	require.NotNil(t, c.Target("order-issuing-00-6"))
	require.Zero(t, c.Runs("*").Started)
}
