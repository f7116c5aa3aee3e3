package integration

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/face/adminapi"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/test/harness"
)

// TestAdminAPIReportsAcceptedConfigurationAndRefusesWrongToken calls the
// administration API of real hosts. A wrong token must be refused, an accepted change
// must be reported in force on every host, and an invalid document must leave the last
// valid one in force.
func TestAdminAPIReportsAcceptedConfigurationAndRefusesWrongToken(t *testing.T) {
	f := harness.Start(t, harness.Options{Shape: fixture.AuditArchive(), Hosts: 3})

	unauthorized := f.Hosts[0].Admin()
	unauthorized.Token += "x"
	_, err := unauthorized.Status()
	var refused *adminapi.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, adminapi.TokenWrong, refused.Reason)
	harness.Eventually(t, "the refusal is counted", func() bool {
		return harness.Metric(f.Hosts[0].Metrics(t), `swiftvane_admin_refused{reason="token_wrong"}`) == 1
	})

	policy := fixture.Defaults()
	policy.HedgeBudget = 0.01
	revision := f.Platform.Publish(t, map[string]any{"defaults": policy})
	for _, host := range f.Hosts {
		wait, err := host.Admin().WaitConfig(revision, harness.ConditionTimeout)
		require.NoError(t, err)
		require.True(t, wait.InForce, "%+v", wait)
		require.Len(t, wait.Hosts, len(f.Hosts))
		inForce, err := host.Admin().Config()
		require.NoError(t, err)
		require.Equal(t, revision, inForce.Revision)
		require.Contains(t, string(inForce.Keys["defaults"]), `0.01`)
	}

	bad := f.Platform.Publish(t, map[string]any{"nonsense": 1})
	require.Greater(t, bad, revision)
	for _, host := range f.Hosts {
		harness.Eventually(t, "the host reports the invalid document", func() bool {
			status, err := host.Admin().Status()
			require.NoError(t, err)
			require.Equal(t, revision, status.Config.Revision, "the last valid document must stay in force")
			return strings.Contains(status.Platform.LastError, fmt.Sprintf("revision %d ", bad))
		})
	}

	good := f.Platform.Publish(t, map[string]any{"defaults": fixture.Defaults()}, "nonsense")
	wait, err := f.Hosts[0].Admin().WaitConfig(good, harness.ConditionTimeout)
	require.NoError(t, err)
	require.True(t, wait.InForce)

	status, err := f.Hosts[0].Admin().Status()
	require.NoError(t, err)
	require.Equal(t, f.Hosts[0].ID, status.Self.ID)
	for _, host := range f.Hosts[1:] {
		other, err := host.Admin().Status()
		require.NoError(t, err)
		require.Equal(t, status.Config.Digest, other.Config.Digest)
	}
}
