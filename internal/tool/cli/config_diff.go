package cli

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/samber/lo"
	"github.com/spf13/cobra"

	"github.com/swiftvane/swiftvane/internal/domain/configcheck"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/support/exitcode"
)

// difference lists the changes from the document in force to a candidate.
type difference struct {
	InForce   model.Revision `json:"revision_in_force"`
	Candidate model.Revision `json:"revision_of_candidate"`
	Keys      []keyChange    `json:"keys"`
}

// keyChange is a key whose value differs. Before is empty for an added key, After
// for a removed one.
type keyChange struct {
	Key    string          `json:"key"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

func newConfigDiff(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Compare a candidate document with the one in force; exit code 7 if they differ",
		Args:  exactArgs("FILE"),
		RunE: func(_ *cobra.Command, args []string) error {
			return runConfigDiff(o, args[0])
		},
	}
}

func runConfigDiff(o *options, file string) error {
	content, err := o.readDocument(file)
	if err != nil {
		return err
	}
	candidate, err := configcheck.Decode(content)
	if err != nil {
		return exitcode.With(exitcode.Invalid, fmt.Errorf("%s: %w", file, err))
	}
	client, err := o.adminClient()
	if err != nil {
		return err
	}
	inForce, err := client.Config()
	if err != nil {
		return err
	}
	diff := difference{
		InForce: inForce.Revision, Candidate: candidate.Revision,
		Keys: changesBetween(inForce.Keys, candidate.Keys),
	}
	if err := o.render(diff, func(t table.Writer) { drawConfigDiff(t, &diff) }); err != nil {
		return err
	}
	if len(diff.Keys) > 0 {
		return exitcode.With(exitcode.Invalid, fmt.Errorf("%d key(s) differ", len(diff.Keys)))
	}
	return nil
}

// changesBetween returns the keys whose values differ as JSON, sorted by key.
func changesBetween(before, after map[string]json.RawMessage) []keyChange {
	keys := lo.Uniq(append(lo.Keys(before), lo.Keys(after)...))
	slices.Sort(keys)
	changes := []keyChange{}
	for _, key := range keys {
		if !sameJSON(before[key], after[key]) {
			changes = append(changes, keyChange{Key: key, Before: before[key], After: after[key]})
		}
	}
	return changes
}

func sameJSON(a, b json.RawMessage) bool {
	var left, right any
	if json.Unmarshal(a, &left) != nil || json.Unmarshal(b, &right) != nil {
		return string(a) == string(b)
	}
	return reflect.DeepEqual(left, right)
}

func drawConfigDiff(t table.Writer, d *difference) {
	t.SetTitle("revision %d in force, %d in the candidate", d.InForce, d.Candidate)
	t.AppendHeader(table.Row{"key", "in force", "candidate"})
	for _, change := range d.Keys {
		t.AppendRow(table.Row{change.Key, string(change.Before), string(change.After)})
	}
}
