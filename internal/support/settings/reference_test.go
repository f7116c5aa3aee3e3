package settings

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the reference of settings to the operators' page")

const (
	page        = "../../../docs/operations/settings.md"
	beginMarker = "<!-- begin: made by go test ./internal/support/settings -update -->\n"
	endMarker   = "<!-- end -->\n"
)

// TestOperatorsPageAgreesWithTheSettings guards against an operators' page that
// differs from the definitions of the settings.
func TestOperatorsPageAgreesWithTheSettings(t *testing.T) {
	content, err := os.ReadFile(page)
	require.NoError(t, err)
	before, rest, found := strings.Cut(string(content), beginMarker)
	require.True(t, found, "the page has no begin marker")
	_, after, found := strings.Cut(rest, endMarker)
	require.True(t, found, "the page has no end marker")

	want := before + beginMarker + "\n" + Markdown() + "Example:\n\n```toml\n" + Example + "```\n\n" + endMarker + after
	if *update {
		require.NoError(t, os.WriteFile(page, []byte(want), 0o600))
		return
	}
	require.Equal(t, want, string(content))
}

func TestExampleIsValidIfItsFilesExist(t *testing.T) {
	dir := t.TempDir()
	for name, content := range map[string]string{
		"peer.key":    strings.Repeat("k", MinPeerKeyBytes),
		"read.token":  strings.Repeat("r", MinTokenBytes),
		"write.token": strings.Repeat("w", MinTokenBytes),
	} {
		require.NoError(t, os.WriteFile(dir+"/"+name, []byte(content), 0o600))
	}
	s, err := Parse([]byte(strings.ReplaceAll(Example, "/run/secrets", dir)))
	require.NoError(t, err)
	require.Equal(t, 5000, s.Limits.LameDuckMS)
}

func FuzzParseNeverPanicsNorAcceptsWithoutSecrets(f *testing.F) {
	f.Add(Example)
	f.Add("[host]\nid = 1\n[peers]\nseeds = [[1]]\n")
	f.Add("host = 3")
	f.Add("[limits]\nmax_body_bytes = 99999999999999999999")
	f.Fuzz(func(t *testing.T, content string) {
		s, err := Parse([]byte(content))
		if err == nil && len(s.Secrets.PeerKeys) == 0 {
			t.Fatal("accepted with no peer key")
		}
	})
}
