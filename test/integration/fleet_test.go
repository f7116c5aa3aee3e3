package integration

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/standin/faultproxy"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/standin/platform"
	"github.com/swiftvane/swiftvane/test/harness"
)

// defaultsWith returns the fleet's default policy modified by change. Each n gives a
// different policy.
func defaultsWith(n int, change func(*config.Policy)) map[string]any {
	policy := fixture.Defaults()
	change(&policy)
	policy.CallerBurst += n
	return map[string]any{"defaults": policy}
}

// withAnyCoverage changes a policy so that a query succeeds with any number of answered shards.
func withAnyCoverage(p *config.Policy) { p.MinCoverage = 0 }

// awaitInForce waits until each host has revision in force.
func awaitInForce(t *testing.T, f *harness.Fleet, revision model.Revision) {
	t.Helper()
	for _, host := range f.Hosts {
		harness.Eventually(t, string(host.ID)+" has the revision in force", func() bool { return inForce(t, host).Revision >= revision })
	}
}

func inForce(t *testing.T, host *harness.Host) (current struct {
	Revision model.Revision
	Digest   string
}) {
	t.Helper()
	status, err := host.Admin().Status()
	require.NoError(t, err)
	current.Revision, current.Digest = status.Config.Revision, status.Config.Digest
	return current
}

// TestConfigurationNeverReverts injects three platform faults: a stale revision, two
// documents with the same revision, and a killed platform. Hosts must not go back to an
// older revision, not even after a restart, and must agree on one document.
func TestConfigurationNeverReverts(t *testing.T) {
	f := harness.Start(t, harness.Options{Shape: fixture.AuditArchive(), Hosts: 4})
	second := f.Platform.Publish(t, defaultsWith(1, withFullCoverage))
	awaitInForce(t, f, second)

	f.Platform.SetFaults(t, platform.Faults{StaleRevision: 1})
	restarted := f.Hosts[0]
	restarted.Kill(t)
	restarted.Restart(t)
	f.AwaitReady(t)
	for _, host := range f.Hosts {
		require.GreaterOrEqual(t, inForce(t, host).Revision, second, "%s went back to an older revision", host.ID)
	}

	other, err := json.Marshal(defaultsWith(2, withFullCoverage)["defaults"])
	require.NoError(t, err)
	f.Platform.SetFaults(t, platform.Faults{Conflict: map[string]json.RawMessage{"defaults": other}})
	third := f.Platform.Publish(t, defaultsWith(3, withFullCoverage))
	awaitInForce(t, f, third)
	harness.Eventually(t, "all hosts choose the same document", func() bool {
		digest := inForce(t, f.Hosts[0]).Digest
		for _, host := range f.Hosts[1:] {
			if inForce(t, host).Digest != digest {
				return false
			}
		}
		return true
	})

	f.Platform.Kill(t)
	restarted.Kill(t)
	restarted.Restart(t)
	f.AwaitReady(t)
	require.Equal(t, inForce(t, f.Hosts[1]), inForce(t, restarted), "a restarted host keeps nothing on disk; without the platform it must get the configuration from its peers")
	awaitCompleteAnswer(t, f, restarted)
}

// TestPausedHostDoesNotDisturbOthers pauses a host while the other hosts serve queries
// and take a new configuration. The paused host must catch up after it resumes.
func TestPausedHostDoesNotDisturbOthers(t *testing.T) {
	f := harness.Start(t, harness.Options{Shape: fixture.DiffReview(), Hosts: 3, Policy: withFullCoverage})
	queryAll(t, f)
	paused, others := f.Hosts[0], *f
	others.Hosts = f.Hosts[1:]

	paused.Pause(t)
	queryAll(t, &others)
	revision := f.Platform.Publish(t, defaultsWith(1, withFullCoverage))
	awaitInForce(t, &others, revision)
	paused.Resume(t)
	awaitInForce(t, f, revision)
	f.AwaitReady(t)
	queryAll(t, f)
}

// TestPartitionedFleetAnswersCorrectlyAndRecovers cuts all links between hosts, and
// then only the links to one host. Answers must be correct during each partition and
// complete after it.
func TestPartitionedFleetAnswersCorrectlyAndRecovers(t *testing.T) {
	f := harness.Start(t, harness.Options{
		Shape: fixture.DiffReview(), Hosts: 3, PeerProxies: true,
		Policy: withAnyCoverage,
	})
	for _, host := range f.Hosts {
		awaitCompleteAnswer(t, f, host)
	}
	setPeerRule := func(rule faultproxy.Rule, hosts ...*harness.Host) {
		for _, host := range hosts {
			host.Proxy.SetRule(rule)
		}
	}

	setPeerRule(faultproxy.Blackhole(), f.Hosts...)
	for _, host := range f.Hosts {
		requireCorrectAnswers(t, f, host)
	}
	during := f.Platform.Publish(t, defaultsWith(1, withAnyCoverage))
	setPeerRule(faultproxy.Rule{}, f.Hosts...)
	awaitInForce(t, f, during)
	for _, host := range f.Hosts {
		awaitCompleteAnswer(t, f, host)
	}

	setPeerRule(faultproxy.Rule{ToServer: faultproxy.Flow{Hold: true}}, f.Hosts[0])
	for _, host := range f.Hosts {
		requireCorrectAnswers(t, f, host)
	}
	later := f.Platform.Publish(t, defaultsWith(2, withAnyCoverage))
	setPeerRule(faultproxy.Rule{}, f.Hosts[0])
	awaitInForce(t, f, later)
	for _, host := range f.Hosts {
		awaitCompleteAnswer(t, f, host)
	}
}

// requireCorrectAnswers queries a host that may not reach all owners of targets until
// it has returned a number of answers. Each must have correct results and coverage and
// cover at least one shard.
func requireCorrectAnswers(t *testing.T, f *harness.Fleet, host *harness.Host) {
	t.Helper()
	const wanted = 10
	given := 0
	harness.Eventually(t, string(host.ID)+" returns answers", func() bool {
		body := harness.Body(given)
		answer, err := host.Ask(t, f.Shape.Workload, body)
		if err != nil {
			return false
		}
		require.NoError(t, f.Verify(body, answer))
		require.NotZero(t, answer.Coverage.Answered)
		given++
		return given == wanted
	})
}
