package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
)

// writeValidSettings writes key and token files and returns the content of a valid
// settings file that names them.
func writeValidSettings(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	write := func(name, content string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
		return path
	}
	return `
[host]
id = "entry-1"
region = "suva"
failure_domain = "suva-a"
[listen]
caller = "127.0.0.1:8080"
admin = "127.0.0.1:8081"
peer = "127.0.0.1:8082"
[platform]
base_url = "http://127.0.0.1:9000"
[peers]
key_files = ["` + write("peer.key", strings.Repeat("k", MinPeerKeyBytes)+"\n") + `"]
seeds = ["entry-2=127.0.0.1:8083"]
[admin]
read_token_file = "` + write("read", strings.Repeat("r", MinTokenBytes)) + `"
write_token_file = "` + write("write", strings.Repeat("w", MinTokenBytes)) + `"
`
}

func paths(t *testing.T, err error) []string {
	t.Helper()
	var errs Errors
	require.ErrorAs(t, err, &errs)
	return lo.Map(errs, func(e *FieldError, _ int) string { return e.Path })
}

func TestValidSettingsGetDefaults(t *testing.T) {
	s, err := Parse([]byte(writeValidSettings(t)))
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:8082", s.Listen.AdvertisedPeer)
	require.Equal(t, defaultDrainMS, s.Limits.DrainMS)
	require.Equal(t, []Seed{{ID: "entry-2", Addr: "127.0.0.1:8083"}}, s.Peers.Seeds)
	require.Len(t, s.Secrets.PeerKeys[0], MinPeerKeyBytes)
}

func TestEveryBadKeyIsReportedAtOnce(t *testing.T) {
	content := strings.NewReplacer(
		`id = "entry-1"`, `id = "<host id>"`,
		`region = "suva"`, `region = ""`,
		`"127.0.0.1:8081"`, `"127.0.0.1:8080"`,
		`http://127.0.0.1:9000`, `127.0.0.1:9000`,
	).Replace(writeValidSettings(t)) + "[limits]\ndrain_ms = \"soon\"\nlame_duck_ms = -1\ndrain = 3\n[extra]\n"
	_, err := Parse([]byte(content))
	require.Equal(t, []string{
		"extra", "host.id", "host.region", "limits.drain", "limits.drain_ms", "limits.lame_duck_ms",
		"listen.admin", "platform.base_url",
	}, paths(t, err))
	require.ErrorContains(t, err, `limits.lame_duck_ms = -1: allowed: 0 to 600000 ms`)
}

func TestBadKeyIsReported(t *testing.T) {
	for name, c := range map[string]struct{ old, new, path string }{
		"missing section":     {"[platform]\nbase_url = \"http://127.0.0.1:9000\"\n", "", "platform.base_url"},
		"host name as number": {`id = "entry-1"`, `id = 7`, "host.id"},
		"name for an address": {`"127.0.0.1:8080"`, `"localhost:8080"`, "listen.caller"},
		"peer not reachable":  {`"127.0.0.1:8082"`, `"0.0.0.0:8082"`, "listen.advertised_peer"},
		"seed without id":     {`entry-2=127.0.0.1:8083`, `127.0.0.1:8083`, "peers.seeds"},
		"seed is this host":   {`entry-2=`, `entry-1=`, "peers.seeds"},
		"no key files":        {`key_files = [`, `key_files = [] #`, "peers.key_files"},
		"key file not there":  {`peer.key"`, `none.key"`, "peers.key_files"},
		"misspelt section":    {"[platform]\nbase_url", "[platform_]\nbase_url", "platform.base_url"},
	} {
		t.Run(name, func(t *testing.T) {
			content := writeValidSettings(t)
			require.Contains(t, content, c.old)
			_, err := Parse([]byte(strings.Replace(content, c.old, c.new, 1)))
			require.Contains(t, paths(t, err), c.path)
		})
	}
}

func TestShortAndRepeatedSecretsAreRefusedAndNeverShown(t *testing.T) {
	const secret = "hush-hush-hush-hush"
	file := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(file, []byte(secret), 0o600))
	s, err := Parse([]byte(writeValidSettings(t)))
	require.NoError(t, err)

	s.Admin = Admin{ReadTokenFile: file, WriteTokenFile: file}
	s.Peers.KeyFiles, s.Secrets = []string{file}, Secrets{}
	errs := s.loadSecrets()
	require.Equal(t, []string{"peers.key_files", "admin.write_token_file"}, paths(t, errs))
	require.NotContains(t, errs.Error(), secret)
}

func TestTOMLSyntaxErrorNamesTheLine(t *testing.T) {
	_, err := Parse([]byte("[host]\nid = \n"))
	require.ErrorContains(t, err, "line 2")
}

func TestEverySettingIsDocumented(t *testing.T) {
	for _, section := range Reference() {
		require.NotEmpty(t, section.Doc, section.Name)
		for _, key := range section.Keys {
			require.NotEmpty(t, key.Doc, key.Path)
			require.NotEmpty(t, key.Allowed, key.Path)
			require.NotEmpty(t, key.check, key.Path)
		}
	}
}
