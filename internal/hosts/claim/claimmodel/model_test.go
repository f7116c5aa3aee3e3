package claimmodel

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	// largeVariable is the environment variable that enables the large scenarios,
	// which take minutes.
	largeVariable = "SWIFTVANE_MODEL_LARGE"

	// maxSmallStates and maxLargeStates bound the states of one scenario; exploring
	// more is an error.
	maxSmallStates = 200_000
	maxLargeStates = 2_500_000
)

func explore(t *testing.T, s *Scenario, maxStates int) *Result {
	t.Helper()
	s.MaxStates = maxStates
	result, err := Explore(s)
	require.NoError(t, err)
	return result
}

func TestAtMostOnceSmallModelHasNoViolation(t *testing.T) {
	for _, s := range Small() {
		t.Run(s.Name, func(t *testing.T) {
			result := explore(t, s, maxSmallStates)
			t.Log(result)
			require.Empty(t, result.Violation)
		})
	}
}

func TestAtMostOnceLargeModelHasNoViolation(t *testing.T) {
	if os.Getenv(largeVariable) == "" {
		t.Skipf("set %s=1 to explore the large scenarios, which takes minutes", largeVariable)
	}
	for _, s := range Large() {
		t.Run(s.Name, func(t *testing.T) {
			result := explore(t, s, maxLargeStates)
			t.Log(result)
			require.Empty(t, result.Violation)
		})
	}
}

func TestAtMostOnceModelIsViolatedIfAnyRuleIsOmitted(t *testing.T) {
	for _, omission := range Omissions() {
		t.Run(omission.Rule, func(t *testing.T) {
			s := Find(omission.Scenario)
			require.NotNil(t, s)
			omission.Omit(s)
			result := explore(t, s, maxSmallStates)
			t.Logf("without %q, in %q: %s", omission.Rule, omission.Scenario, result)
			require.NotEmpty(t, result.Violation, "the rule is not necessary, or the scenario does not exercise it")
		})
	}
}
