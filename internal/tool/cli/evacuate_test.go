package cli

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/face/adminapi"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/support/exitcode"
)

// TestEvacuateAndRestorePrintTheNextDocument guards against a document that hosts refuse,
// or that loses another key or evacuation.
func TestEvacuateAndRestorePrintTheNextDocument(t *testing.T) {
	shape := fixture.AuditArchive()
	addrs := make([]string, shape.Replicas)
	for i := range addrs {
		addrs[i] = fmt.Sprint("127.0.0.1:", 7000+i)
	}
	document, err := fixture.Document(addrs, shape)
	require.NoError(t, err)
	keys := len(document.Keys)
	change := func(args ...string) exitcode.Code {
		raw, err := json.Marshal(map[string]any{"revision": document.Revision, "keys": document.Keys})
		require.NoError(t, err)
		code, out, _ := run(t, map[string]string{"GET " + adminapi.PathConfig: string(raw)}, "", append([]string{"evacuate"}, args...)...)
		if code != exitcode.OK {
			require.Empty(t, out)
			return code
		}
		before := document.Revision
		document = &config.Document{}
		require.NoError(t, json.Unmarshal([]byte(out), document))
		require.Equal(t, before+1, document.Revision)
		return code
	}
	evacuated := func() []config.EvacuatedDomain {
		fleet, err := config.Parse(document)
		require.NoError(t, err)
		return fleet.EvacuatedDomains
	}
	const reason = "the rack gets new power"
	require.Equal(t, exitcode.OK, change("domain-1", "--reason", reason))
	require.Equal(t, exitcode.OK, change("domain-2", "--reason", reason))
	require.Equal(t, exitcode.OK, change("domain-1", "--reason", reason+" and cooling"))
	require.Equal(t, []config.EvacuatedDomain{{Domain: "domain-2", Reason: reason}, {Domain: "domain-1", Reason: reason + " and cooling"}}, evacuated())
	for _, args := range [][]string{
		{"domain-3"}, {"domain-3", "--reason", "short"}, {"domain-1", "--reason", reason, "--restore"}, {"domain-3", "--restore"}, {"--restore"},
	} {
		require.Equal(t, exitcode.Usage, change(args...), args)
	}
	require.Equal(t, exitcode.OK, change("domain-2", "--restore"))
	require.Equal(t, exitcode.OK, change("domain-1", "--restore"))
	require.Empty(t, evacuated())
	require.Len(t, document.Keys, keys)
}
