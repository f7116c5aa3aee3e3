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

// defaultsWith returns fleet defaults that differ by n, changed as the fleet's.
func defaultsWith(n int, change func(*config.Policy)) map[string]any {
	policy := fixture.Defaults()
	change(&policy)
	policy.CallerBurst += n
	return map[string]any{"defaults": policy}
}

// anyCoverage makes an answer of any coverage count.
func anyCoverage(p *config.Policy) { p.MinCoverage = 0 }

// awaitInForce waits until each host has revision in force.
func awaitInForce(t *testing.T, f *harness.Fleet, revision model.Revision) {
	t.Helper()
	for _, host := range f.Hosts {
		harness.Eventually(t, string(host.ID)+" has the revision in force", func() bool { return inForce(t, host).Revision >= revision })
	}
}

func inForce(t *testing.T, host *harness.Host) (fact struct {
	Revision model.Revision
	Digest   string
}) {
	t.Helper()
	status, err := host.Admin().Status()
	require.NoError(t, err)
	fact.Revision, fact.Digest = status.Config.Revision, status.Config.Digest
	return fact
}

// TestConfigurationNeverReverts takes the platform through staleness, two
// documents under one revision, and its end.
func TestConfigurationNeverReverts(t *testing.T) {
	f := harness.Start(t, harness.Options{Shape: fixture.AuditArchive(), Hosts: 4})
	second := f.Platform.Publish(t, defaultsWith(1, wantAll))
	awaitInForce(t, f, second)

	f.Platform.SetFaults(t, platform.Faults{StaleRevision: 1})
	restarted := f.Hosts[0]
	restarted.Kill(t)
	restarted.Restart(t)
	f.AwaitReady(t)
	for _, host := range f.Hosts {
		require.GreaterOrEqual(t, inForce(t, host).Revision, second, "%s took an older revision", host.ID)
	}

	other, err := json.Marshal(defaultsWith(2, wantAll)["defaults"])
	require.NoError(t, err)
	f.Platform.SetFaults(t, platform.Faults{Conflict: map[string]json.RawMessage{"defaults": other}})
	third := f.Platform.Publish(t, defaultsWith(3, wantAll))
	awaitInForce(t, f, third)
	harness.Eventually(t, "all hosts choose the same of two documents", func() bool {
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
	require.Equal(t, inForce(t, f.Hosts[1]), inForce(t, restarted), "a host without disk and platform learns from its peers")
	whole(t, f, restarted)
}

// TestPausedHostHoldsUpNobody freezes a host while callers ask the others.
func TestPausedHostHoldsUpNobody(t *testing.T) {
	f := harness.Start(t, harness.Options{Shape: fixture.DiffReview(), Hosts: 3, Policy: wantAll})
	askAll(t, f)
	paused, others := f.Hosts[0], *f
	others.Hosts = f.Hosts[1:]

	paused.Pause(t)
	askAll(t, &others)
	revision := f.Platform.Publish(t, defaultsWith(1, wantAll))
	awaitInForce(t, &others, revision)
	paused.Resume(t)
	awaitInForce(t, f, revision)
	f.AwaitReady(t)
	askAll(t, f)
}

// TestSplitFleetStaysTruthfulAndHeals cuts all links between hosts, and then
// the links to one host only.
func TestSplitFleetStaysTruthfulAndHeals(t *testing.T) {
	f := harness.Start(t, harness.Options{
		Shape: fixture.DiffReview(), Hosts: 3, PeerProxies: true,
		Policy: anyCoverage,
	})
	for _, host := range f.Hosts {
		whole(t, f, host)
	}
	cut := func(rule faultproxy.Rule, hosts ...*harness.Host) {
		for _, host := range hosts {
			host.Proxy.SetRule(rule)
		}
	}

	cut(faultproxy.Blackhole(), f.Hosts...)
	for _, host := range f.Hosts {
		requireTruthful(t, f, host)
	}
	during := f.Platform.Publish(t, defaultsWith(1, anyCoverage))
	cut(faultproxy.Rule{}, f.Hosts...)
	awaitInForce(t, f, during)
	for _, host := range f.Hosts {
		whole(t, f, host)
	}

	cut(faultproxy.Rule{ToServer: faultproxy.Flow{Hold: true}}, f.Hosts[0])
	for _, host := range f.Hosts {
		requireTruthful(t, f, host)
	}
	later := f.Platform.Publish(t, defaultsWith(2, anyCoverage))
	cut(faultproxy.Rule{}, f.Hosts[0])
	awaitInForce(t, f, later)
	for _, host := range f.Hosts {
		whole(t, f, host)
	}
}

// requireTruthful asks a host that may not reach all owners of targets, until it
// has given a number of answers. They must be right, their coverage true, and
// some shards covered.
func requireTruthful(t *testing.T, f *harness.Fleet, host *harness.Host) {
	t.Helper()
	const wanted = 10
	given := 0
	harness.Eventually(t, string(host.ID)+" gives answers", func() bool {
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
