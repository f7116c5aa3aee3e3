package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/swiftvane/swiftvane/internal/support/exitcode"
	"github.com/swiftvane/swiftvane/internal/support/settings"
	"github.com/swiftvane/swiftvane/internal/support/version"
	"github.com/swiftvane/swiftvane/platform"
)

// platformExt is the extension of the settings files of the users' platform (package
// platform); the project's own settings files are TOML.
const platformExt = ".json"

// flags holds the command-line flags of the daemon.
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
	cmd.Flags().StringVar(&f.settingsFile, "settings", "", "TOML file with the settings of this host, or the platform's .json file; without it the file that "+platform.SettingsVariable+" names")
	cmd.Flags().BoolVar(&f.checkConfig, "check-config", false, "check the settings, print the verdict and exit")
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return exitcode.With(exitcode.Usage, err) })
	return cmd
}

// platformFile returns the path of the platform's settings file. It returns "" if
// --settings names a file with another extension, or if neither the flag nor the
// environment variable names a file.
func (f *flags) platformFile() string {
	if f.settingsFile == "" {
		return os.Getenv(platform.SettingsVariable)
	}
	if filepath.Ext(f.settingsFile) == platformExt {
		return f.settingsFile
	}
	return ""
}

func (f *flags) runPlatform(cmd *cobra.Command, path string) error {
	if !f.checkConfig {
		return servePlatform(path)
	}
	if _, err := platform.LoadNode(path); err != nil {
		return exitcode.With(exitcode.Usage, err)
	}
	_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: settings are valid\n", path)
	return err
}

func (f *flags) run(cmd *cobra.Command) error {
	if path := f.platformFile(); path != "" {
		return f.runPlatform(cmd, path)
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
