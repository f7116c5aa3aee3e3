package experiment

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const smallPlan = `
name = "small"
description = "all kinds of arms on two services"
rounds = 1
policy = '{"min_coverage": 1}'
[workload]
services = 2
replicas = 2
slots = 2
max_connections = 8
faults = '{"latency_median_us": 200}'
[load]
rate = 100.0
arrivals = "constant"
duration = "200ms"
deadline_ms = 5000
[[arm]]
name = "naive"
kind = "naive"
hosts = 2
[[arm]]
name = "direct"
kind = "core"
hosts = 2
direct = true
[[arm]]
name = "owners"
kind = "core"
hosts = 2
[[arm]]
name = "split"
kind = "core"
hosts = 2
groups = 2
[[arm]]
name = "tier"
kind = "tier"
hosts = 2
[[compare]]
name = "coverage"
metric = "coverage"
of = "tier"
at_least = 1
`

func TestEveryKindOfArmAnswers(t *testing.T) {
	plan, err := Parse([]byte(smallPlan))
	require.NoError(t, err)
	report, err := Run(t.Context(), plan, func(string) {})
	require.NoError(t, err)
	require.Len(t, report.Rounds, 1)
	for _, arm := range report.Rounds[0] {
		require.Equal(t, 19, arm.Load.Offered, arm.Name)
		require.Equal(t, 19, arm.Load.Summary.FullAnswers, "%s: %+v", arm.Name, arm.Load.Summary)
		require.GreaterOrEqual(t, arm.TargetFinished, 2*19)
		require.LessOrEqual(t, arm.PeakConnections, 8, arm.Name)
	}
	require.True(t, report.Verdicts[0].Met)
}

func TestInvalidPlanErrorNamesField(t *testing.T) {
	for want, plan := range map[string]string{
		"unknown key":           smallPlan + "\nbound = 2\n",
		"must name arms":        smallPlan + "\n[[compare]]\nname='x'\nmetric='p50'\nof='other'\nat_most=1.0\n",
		"metric":                smallPlan + "\n[[compare]]\nname='x'\nmetric='p42'\nof='tier'\nat_most=1.0\n",
		"at_most and at_least":  smallPlan + "\n[[compare]]\nname='x'\nmetric='p50'\nof='tier'\n",
		"Kind":                  smallPlan + "\n[[arm]]\nname='x'\nkind='magic'\nhosts=1\n",
		"unique":                smallPlan + "\n[[arm]]\nname='tier'\nkind='tier'\nhosts=1\n",
		"shed_share":            smallPlan + "\n[[arm]]\nname='x'\nkind='tier'\nhosts=1\nfaults='{\"shed_share\":2}'\n",
		"unknown field \"odd\"": smallPlan + "\n[[arm]]\nname='x'\nkind='tier'\nhosts=1\nfaults='{\"odd\":1}'\n",
	} {
		t.Run(want, func(t *testing.T) {
			_, err := Parse([]byte(plan))
			require.ErrorContains(t, err, want)
		})
	}
}

func TestCompareTakesTheMedianOfRounds(t *testing.T) {
	bound := 0.5
	arm := func(name string, goodput float64) *ArmReport { return &ArmReport{Name: name, Goodput: goodput} }
	rounds := [][]*ArmReport{
		{arm("a", 1), arm("b", 10)},
		{arm("a", 4), arm("b", 10)},
		{arm("a", 9), arm("b", 10)},
	}
	verdict := compare(&Comparison{Metric: "goodput", Of: "a", To: "b", AtMost: &bound}, rounds)
	require.Equal(t, []float64{0.1, 0.4, 0.9}, verdict.Rounds)
	require.InDelta(t, 0.4, verdict.Median, 1e-9)
	require.True(t, verdict.Met)
	verdict = compare(&Comparison{Metric: "goodput", Of: "a", To: bestArm, AtLeast: &bound}, rounds)
	require.False(t, verdict.Met)
}
