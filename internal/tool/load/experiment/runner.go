package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"github.com/swiftvane/swiftvane/internal/standin/cluster"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/standin/target"
	"github.com/swiftvane/swiftvane/internal/tool/load"
)

// runningArm is the system under test: a started arm with its stand-ins.
type runningArm interface {
	load.Client
	Standins() *cluster.Cluster
	// Close stops the arm and its stand-ins.
	Close()
}

// Run runs the experiment. It calls progress with a line of text before each arm.
// If ctx ends, it returns an error.
func Run(ctx context.Context, plan *Plan, progress func(line string)) (*Report, error) {
	report := &Report{
		Name: plan.Name, Description: plan.Description, Started: time.Now().UTC(),
		Machine: Machine{Cores: runtime.NumCPU(), LoadAverageBefore: loadAverage()},
	}
	for round := range plan.Rounds {
		var arms []*ArmReport
		for i := range plan.Arms {
			arm := &plan.Arms[i]
			progress(fmt.Sprintf("%s: round %d of %d, %s", plan.Name, round+1, plan.Rounds, arm.Name))
			armReport, err := runArm(ctx, plan, arm)
			if err != nil {
				return nil, fmt.Errorf("arm %s: %w", arm.Name, err)
			}
			arms = append(arms, armReport)
		}
		report.Rounds = append(report.Rounds, arms)
	}
	for i := range plan.Compares {
		report.Verdicts = append(report.Verdicts, compare(&plan.Compares[i], report.Rounds))
	}
	report.Machine.LoadAverageAfter = loadAverage()
	return report, ctx.Err()
}

// runArm runs one arm against its own stand-ins.
func runArm(ctx context.Context, plan *Plan, arm *Arm) (*ArmReport, error) {
	running, err := startArm(ctx, plan, arm)
	if err != nil {
		return nil, err
	}
	defer running.Close()
	standins := running.Standins()
	faults := scheduleFaults(arm, standins.Targets)
	defer faults.stop()
	before := processorTime()
	measured, err := load.Generate(ctx, plan.run(arm), running, nil)
	if err != nil {
		return nil, err
	}
	if err := faults.failed(); err != nil {
		return nil, err
	}
	used := processorTime() - before
	report := reportArm(arm, measured, standins.Runs(""), used)
	if wanted := measured.TotalSent * plan.Workload.Services; wanted > 0 {
		report.TargetExtra = float64(report.TargetStarted+report.TargetRefused)/float64(wanted) - 1
	}
	return report, nil
}

func startArm(ctx context.Context, plan *Plan, arm *Arm) (runningArm, error) {
	switch arm.Kind {
	case Naive:
		return startNaive(plan, arm)
	case Core:
		return startCore(ctx, plan, arm)
	default:
		return startTier(ctx, plan, arm)
	}
}

// startStandins starts an arm's stand-ins with the plan's policy published.
func startStandins(plan *Plan) (*cluster.Cluster, error) {
	standins, err := cluster.Start(plan.standins())
	if err != nil {
		return nil, err
	}
	if err := publishPolicy(standins, plan.Policy); err != nil {
		standins.Close()
		return nil, err
	}
	return standins, nil
}

// publishPolicy merges the plan's policy into the published defaults.
func publishPolicy(standins *cluster.Cluster, policy string) error {
	defaults := fixture.Defaults()
	if policy != "" {
		if err := json.Unmarshal([]byte(policy), &defaults); err != nil {
			return fmt.Errorf("policy: %w", err)
		}
	}
	raw, err := json.Marshal(defaults)
	if err != nil {
		return err
	}
	standins.Platform.Publish(map[string]json.RawMessage{"defaults": raw})
	return nil
}

// scheduledFaults are faults that are set while an arm runs.
type scheduledFaults struct {
	timer *time.Timer
	errs  chan error
}

// scheduleFaults sets the arm's faults once FaultAt has passed, unless stop is called
// before.
func scheduleFaults(arm *Arm, targets []*target.Target) *scheduledFaults {
	affected := targets[:min(arm.FaultTargets, len(targets))]
	f := &scheduledFaults{errs: make(chan error, len(affected))}
	f.timer = time.AfterFunc(time.Duration(arm.FaultAt), func() {
		for _, t := range affected {
			if err := t.SetFaults(arm.Faults.Faults); err != nil {
				f.errs <- err
			}
		}
	})
	return f
}

func (f *scheduledFaults) stop() { f.timer.Stop() }

// failed returns the first error of setting the faults so far.
func (f *scheduledFaults) failed() error {
	select {
	case err := <-f.errs:
		return err
	default:
		return nil
	}
}

func reportArm(arm *Arm, measured *load.Report, runs target.RunReport, used time.Duration) *ArmReport {
	report := &ArmReport{
		Name: arm.Name, Kind: arm.Kind,
		Goodput:            measured.Summary.AnswersPerSecond,
		ExtraLoad:          measured.Summary.ExtraLoad,
		PeakConnections:    runs.PeakConnections,
		RefusedConnections: runs.RefusedConnections,
		TargetStarted:      runs.Started,
		TargetFinished:     runs.Finished,
		TargetCancelled:    runs.Cancelled,
		TargetRefused:      runs.Refused,
		Load:               measured,
	}
	if runs.Started > 0 {
		report.CPUMicrosPerSubRequest = float64(used.Microseconds()) / float64(runs.Started)
	}
	return report
}

// processorTime returns the processor time that this process has used, user and system,
// or zero if it is unavailable.
func processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// loadAverage returns the machine's one-minute load average, or an empty string if
// it is unavailable.
func loadAverage() string {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	first, _, _ := strings.Cut(string(raw), " ")
	return first
}
