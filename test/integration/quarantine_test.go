package integration

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/face/adminapi"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/standin/target"
	"github.com/swiftvane/swiftvane/test/harness"
)

// TestRequestThatCrashesTargetsIsQuarantined sends every host in turn, repeatedly, a
// request that crashes any target that runs it. At most two targets may crash, and
// operators must be able to list the quarantine entry and to release it on all hosts.
func TestRequestThatCrashesTargetsIsQuarantined(t *testing.T) {
	f := harness.Start(t, harness.Options{Shape: fixture.AuditArchive(), Hosts: 3})
	for _, tgt := range f.Targets {
		tgt.SetFaults(t, target.Faults{CrashBody: "poison"})
	}
	poison := json.RawMessage(`{"form":"poison"}`)
	crashedTargets := func() int {
		return lo.CountBy(f.Targets, func(tgt *harness.Target) bool { return tgt.Exited() })
	}

	sent := 0
	harness.Eventually(t, "every host refuses the request", func() bool {
		quarantined := 0
		for _, host := range f.Hosts {
			_, err := host.Ask(t, f.Shape.Workload, poison)
			sent++
			var failure *verdict.Error
			require.True(t, errors.As(err, &failure))
			if failure.Reason == verdict.Quarantined {
				// The caller chose the request id and may have sent it before, so this
				// refusal cannot rule out that the request ran.
				require.Equal(t, verdict.Unknown, failure.Verdict)
				require.Positive(t, failure.RetryAfter)
				quarantined++
			}
		}
		return quarantined == len(f.Hosts)
	})
	const maxCrashedTargets = 2
	require.LessOrEqual(t, crashedTargets(), maxCrashedTargets)
	require.NotZero(t, crashedTargets())
	for _, host := range f.Hosts {
		awaitCompleteAnswer(t, f, host)
	}

	var list adminapi.Quarantine
	_, stdout, _ := f.Hosts[0].Ctl(t, "", "quarantine", "list")
	require.NoError(t, json.Unmarshal([]byte(stdout), &list))
	require.Len(t, list.Entries, 1)
	require.Equal(t, f.Shape.Workload, list.Entries[0].Workload)
	code, _, stderr := f.Hosts[0].Ctl(t, "", "quarantine", "release", list.Entries[0].Fingerprint)
	require.Zero(t, code, stderr)
	harness.Eventually(t, "no host lists the quarantine entry", func() bool {
		return lo.EveryBy(f.Hosts, func(host *harness.Host) bool {
			quarantine, err := host.Admin().Quarantine()
			require.NoError(t, err)
			return len(quarantine.Entries) == 0
		})
	})
}
