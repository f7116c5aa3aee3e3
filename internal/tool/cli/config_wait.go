package cli

import (
	"fmt"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/face/adminapi"
	"github.com/swiftvane/swiftvane/internal/support/exitcode"
)

const (
	defaultWait = 30 * time.Second
	// maxWaitPerCall limits the wait of one call; longer waits use several calls.
	maxWaitPerCall = time.Minute
)

func newConfigWait(o *options) *cobra.Command {
	var revision uint64
	var limit time.Duration
	cmd := &cobra.Command{
		Use:   "wait --revision N",
		Short: "Wait until a revision is in force on each live host; exit code 6 if time runs out",
		Args:  exactArgs(),
		RunE: func(*cobra.Command, []string) error {
			if revision == 0 {
				return usagef("--revision is required and must be at least 1")
			}
			return runConfigWait(o, model.Revision(revision), limit)
		},
	}
	cmd.Flags().Uint64Var(&revision, "revision", 0, "revision to wait for, or a newer one")
	cmd.Flags().DurationVar(&limit, "timeout", defaultWait, "longest wait")
	return cmd
}

func runConfigWait(o *options, revision model.Revision, limit time.Duration) error {
	client, err := o.adminClient()
	if err != nil {
		return err
	}
	var wait *adminapi.ConfigWait
	deadline := time.Now().Add(limit)
	err = o.withProgress(fmt.Sprintf("waiting for revision %d", revision), func() (err error) {
		for {
			left := max(0, time.Until(deadline))
			wait, err = client.WaitConfig(revision, min(left, maxWaitPerCall))
			if err != nil || wait.InForce || left <= maxWaitPerCall {
				return err
			}
		}
	})
	if err != nil {
		return err
	}
	if err := o.render(wait, func(t table.Writer) { drawConfigWait(t, wait) }); err != nil {
		return err
	}
	if !wait.InForce {
		return exitcode.With(exitcode.Timeout, fmt.Errorf("revision %d is not in force everywhere after %s", revision, limit))
	}
	return nil
}

func drawConfigWait(t table.Writer, wait *adminapi.ConfigWait) {
	t.AppendHeader(table.Row{"host", "state", "revision", "in force", "heard"})
	for _, host := range wait.Hosts {
		t.AppendRow(table.Row{host.ID, host.State, host.Revision, host.InForce, formatAge(host.AgeMS)})
	}
}
