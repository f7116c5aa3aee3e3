package cli

import (
	"encoding/json"
	"slices"

	"github.com/spf13/cobra"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
)

func newEvacuate(o *options) *cobra.Command {
	var reason string
	var restore bool
	cmd := &cobra.Command{
		Use:   "evacuate DOMAIN (--reason TEXT | --restore)",
		Short: "Print the next document with a failure domain evacuated, or restored",
		Long: "Prints the configuration that the host named by --admin has in force, with the next revision and the failure\n" +
			"domain in its list of evacuated ones. Publish it like any other: hosts and this command only read the platform.",
		Args: exactArgs("DOMAIN"),
		RunE: func(_ *cobra.Command, args []string) error {
			return evacuate(o, config.EvacuatedDomain{Domain: model.FailureDomain(args[0]), Reason: reason}, restore)
		},
	}
	cmd.Flags().StringVar(&reason, "reason", "", "why, at least 10 characters")
	cmd.Flags().BoolVar(&restore, "restore", false, "end the evacuation")
	return cmd
}

func evacuate(o *options, entry config.EvacuatedDomain, restore bool) error {
	if restore == (entry.Reason != "") {
		return usagef("give either --reason or --restore")
	}
	client, err := o.adminClient()
	if err != nil {
		return err
	}
	inForce, err := client.Config()
	if err != nil {
		return err
	}
	document := &config.Document{Revision: inForce.Revision + 1, Keys: inForce.Keys}
	if err := changeEvacuated(document, entry, restore); err != nil {
		return err
	}
	if _, err := config.Parse(document); err != nil {
		return usagef("the next document would be refused: %w", err)
	}
	encoder := json.NewEncoder(o.streams.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(document)
}

// changeEvacuated adds the entry to the document's list of evacuated failure domains, in
// place of one with the same domain, or removes it.
func changeEvacuated(document *config.Document, entry config.EvacuatedDomain, restore bool) error {
	list := []config.EvacuatedDomain{}
	if raw, ok := document.Keys[config.KeyEvacuated]; ok {
		if err := json.Unmarshal(raw, &list); err != nil {
			return err
		}
	}
	kept := slices.DeleteFunc(slices.Clone(list), func(e config.EvacuatedDomain) bool { return e.Domain == entry.Domain })
	switch {
	case !restore:
		kept = append(kept, entry)
	case len(kept) == len(list):
		return usagef("failure domain %q is not evacuated", entry.Domain)
	}
	if len(kept) == 0 {
		delete(document.Keys, config.KeyEvacuated)
		return nil
	}
	raw, err := json.Marshal(kept)
	document.Keys[config.KeyEvacuated] = raw
	return err
}
