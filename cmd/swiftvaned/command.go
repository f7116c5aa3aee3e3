package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/swiftvane/swiftvane/internal/exitcode"
	"github.com/swiftvane/swiftvane/internal/settings"
	"github.com/swiftvane/swiftvane/internal/version"
	"github.com/swiftvane/swiftvane/platform"
)

// flags are the daemon's.
type flags struct {
	settingsFile string
	checkConfig  bool
}

func newCommand() *cobra.Command {
	f := &flags{}
	cmd := &cobra.Command{
		Use:           "swiftvaned --settings FILE",
		Short:         "Run one host of the query tier",
		Version:       version.String(),
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	cmd.Flags().StringVar(&f.settingsFile, "settings", "", "TOML file with the settings of this host")
	cmd.Flags().BoolVar(&f.checkConfig, "check-config", false, "check the settings, print the verdict and exit")
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return exitcode.With(exitcode.Usage, err) })
	return cmd
}

func (f *flags) run(cmd *cobra.Command) error {
	if path := os.Getenv(platform.SettingsVariable); path != "" && f.settingsFile == "" {
		return servePlatform(path)
	}
	if f.settingsFile == "" {
		return exitcode.With(exitcode.Usage, fmt.Errorf("--settings: a file is required"))
	}
	s, err := settings.Load(f.settingsFile)
	if err != nil {
		return exitcode.With(exitcode.Usage, err)
	}
	if f.checkConfig {
		_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: settings are valid\n", f.settingsFile)
		return err
	}
	return serve(s)
}
