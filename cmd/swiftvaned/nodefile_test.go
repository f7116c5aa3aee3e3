package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/platform"
)

const validNode = `{"node_name":"n","ip":"10.0.0.1","zone":"z","listen_addrs":{"front":"10.0.0.1:1","ready":"10.0.0.1:2"},"limits":{"memory_mb":284},"seeds":["10.0.0.1:9"],` +
	`"heartbeat_ms":1200,"bounds":{"drain_ms":3000,"grace_s":6,"retry_budget_ratio":0.2,"budget_window_s":10,"retry_budget_slack":54},"platform":{"address":"10.0.0.2:3"}}`

func TestChangedSettingsFileIsLoadedAndInvalidOrMissingOneIgnored(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.json")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(validNode)
	node, err := platform.LoadNode(path)
	require.NoError(t, err)
	log, hook := test.NewNullLogger()
	f := newNodeFile(path, node, log)
	f.check()
	require.Empty(t, hook.AllEntries())
	write(strings.Replace(validNode, "10.0.0.1:9", "10.0.0.7:9", 1))
	f.check()
	require.Equal(t, []string{"10.0.0.7:9"}, f.seeds())
	for _, bad := range []string{"{", strings.Replace(validNode, `"grace_s":6`, `"grace_s":0`, 1)} {
		hook.Reset()
		write(bad)
		f.check()
		f.check()
		require.Len(t, hook.AllEntries(), 1, "an invalid file is logged once")
		require.Equal(t, []string{"10.0.0.7:9"}, f.seeds())
	}
	require.NoError(t, os.Remove(path))
	f.check()
	require.Equal(t, []string{"10.0.0.7:9"}, f.seeds())
}

func TestCheckConfigValidatesPlatformSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.json")
	require.NoError(t, os.WriteFile(path, []byte(validNode), 0o600))
	cmd := newCommand()
	out := &strings.Builder{}
	cmd.SetOut(out)
	cmd.SetArgs([]string{"--settings", path, "--check-config"})
	require.NoError(t, cmd.Execute())
	require.Contains(t, out.String(), "settings are valid")
	require.NoError(t, os.WriteFile(path, []byte("{}"), 0o600))
	require.ErrorContains(t, cmd.Execute(), "platform.address")
}
