package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/standin/target"
)

// exitCrashed is the exit code after a request has crashed the only target of
// the process.
const exitCrashed = 3

// targetsFlags are the flags of the targets command.
type targetsFlags struct {
	fixture  string
	first    int
	count    int
	addr     string
	basePort int
	faults   string
	seed     uint64
}

// targetReady describes one started target.
type targetReady struct {
	ID        model.TargetID `json:"id"`
	Addr      string         `json:"addr"`
	AdminAddr string         `json:"admin_addr"`
}

// targetsReady is printed as JSON once all targets serve.
type targetsReady struct {
	Targets []targetReady `json:"targets"`
}

func newTargetsCommand() *cobra.Command {
	flags := new(targetsFlags)
	cmd := &cobra.Command{
		Use:   "targets",
		Short: "Run targets of a fixture's workload",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return runTargets(cmd, flags) },
	}
	cmd.Flags().StringVar(&flags.fixture, "fixture", "diff-review", "workload whose targets are run")
	cmd.Flags().IntVar(&flags.first, "first", 0, "index of the first target to run")
	cmd.Flags().IntVar(&flags.count, "count", 0, "number of targets; 0 runs all from the first")
	cmd.Flags().StringVar(&flags.addr, "addr", "127.0.0.1:0", "address to serve on; with more than one target, the port must be 0")
	cmd.Flags().IntVar(&flags.basePort, "base-port", 0, "port of target 0 on 127.0.0.1; each further target takes the next")
	cmd.Flags().StringVar(&flags.faults, "faults", "{}", "faults at the start, as JSON")
	cmd.Flags().Uint64Var(&flags.seed, "seed", 1, "seed of random decisions")
	cmd.MarkFlagsMutuallyExclusive("addr", "base-port")
	return cmd
}

func runTargets(cmd *cobra.Command, flags *targetsFlags) error {
	all, err := flags.settings()
	if err != nil {
		return err
	}
	var ready targetsReady
	for _, settings := range all {
		started, err := target.Start(settings)
		if err != nil {
			return err
		}
		defer started.Close()
		ready.Targets = append(ready.Targets, targetReady{ID: started.ID(), Addr: started.Addr(), AdminAddr: started.AdminAddr()})
	}
	if err := printReady(cmd, ready); err != nil {
		return err
	}
	<-cmd.Context().Done()
	return nil
}

// settings returns the settings of the targets selected by the flags.
func (f *targetsFlags) settings() ([]target.Settings, error) {
	shape, err := fixture.Named(f.fixture)
	if err != nil {
		return nil, fmt.Errorf("--fixture: %w", err)
	}
	var faults target.Faults
	if err := json.Unmarshal([]byte(f.faults), &faults); err != nil {
		return nil, fmt.Errorf("--faults: %w", err)
	}
	ids := shape.TargetIDs()
	if f.first < 0 || f.first >= len(ids) {
		return nil, fmt.Errorf("--first: %d is not between 0 and %d", f.first, len(ids)-1)
	}
	if f.count < 0 || f.first+f.count > len(ids) {
		return nil, fmt.Errorf("--count: %d from %d is more than the %d targets of %s", f.count, f.first, len(ids), f.fixture)
	}
	last := len(ids)
	if f.count > 0 {
		last = f.first + f.count
	}
	if err := f.checkAddr(last - f.first); err != nil {
		return nil, err
	}
	var all []target.Settings
	for i := f.first; i < last; i++ {
		all = append(all, f.targetSettings(&shape, ids[i], i, last-f.first, faults))
	}
	return all, nil
}

func (f *targetsFlags) checkAddr(count int) error {
	_, port, err := net.SplitHostPort(f.addr)
	if err != nil {
		return fmt.Errorf("--addr: %w", err)
	}
	if count > 1 && port != "0" {
		return errors.New("--addr: the port must be 0 for more than one target")
	}
	return nil
}

// targetSettings returns the settings of the target at index. With a count of 1,
// a crash of the target ends the process.
func (f *targetsFlags) targetSettings(shape *fixture.Shape, id model.TargetID, index, count int, faults target.Faults) target.Settings {
	settings := target.Settings{
		ID: id, Addr: f.addr, Slots: shape.Slots, MaxConnections: shape.MaxConnections,
		SetupCost: shape.SetupCost, Snapshots: []model.SnapshotID{fixture.FirstSnapshot},
		Seed: f.seed + uint64(index), Faults: faults,
	}
	if f.basePort > 0 {
		settings.Addr = net.JoinHostPort("127.0.0.1", strconv.Itoa(f.basePort+index))
	}
	if count == 1 {
		settings.OnCrash = func() { os.Exit(exitCrashed) }
	}
	return settings
}
