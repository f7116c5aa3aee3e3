package callerclient

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/face/callerapi"
	"github.com/swiftvane/swiftvane/internal/standin/rawserver"
	"github.com/swiftvane/swiftvane/internal/support/httpjson"
)

// TestCutAnswerIsNeitherAnAnswerNorARefusal guards against a host that stops within an answer:
// its beginning must not count as the whole, and the query must not be sent again.
func TestCutAnswerIsNeitherAnAnswerNorARefusal(t *testing.T) {
	answers := rawserver.Framings("200 OK", "", `{"request_id":"r","snapshot":7,"coverage":{"shards":1,"answered":1}}`)
	for framing, raw := range rawserver.Framings("503 Service Unavailable", "", `{"request_id":"r","verdict":"not_run","reason":"queue_full","retry_after_ms":1}`) {
		answers["refusal, "+framing] = raw
	}
	for name, raw := range answers {
		cut := rawserver.NewCut(func(*http.Request, []byte) []byte { return raw })
		server, err := rawserver.Start(cut.Answer)
		require.NoError(t, err)
		t.Cleanup(server.Close)
		client := &Client{URLs: []string{"http://" + server.Addr()}, MaxAttempts: 5, HTTP: httpjson.New()}
		for n := range raw {
			cut.After(n)
			_, err := client.Ask(t.Context(), callerapi.Query{RequestID: "r", Workload: "w", Body: json.RawMessage(`1`)})
			require.Error(t, err, "%s, cut after %q", name, raw[:n])
			require.NotEqual(t, verdict.NotRun, verdict.Of(err), "%s, cut after %q", name, raw[:n])
			require.Equal(t, n+1, server.Requests())
		}
	}
}

// TestBrokenAnswerIsNeitherAnAnswerNorARefusal guards against answers that the protocol forbids:
// they must not count, and the query must not be sent again.
func TestBrokenAnswerIsNeitherAnAnswerNorARefusal(t *testing.T) {
	answers := rawserver.Broken("", `{"request_id":"r","snapshot":7,"coverage":{"shards":1,"answered":1}}`)
	answers["refusal"] = []byte("HTTP/1.1 503 Service Unavailable\r\nA b: c\r\nContent-Length: 80\r\n\r\n" +
		`{"request_id":"r","verdict":"not_run","reason":"queue_full","retry_after_ms":1}   `)
	for name, raw := range answers {
		server, err := rawserver.Start(rawserver.NewCut(func(*http.Request, []byte) []byte { return raw }).Answer)
		require.NoError(t, err)
		t.Cleanup(server.Close)
		client := &Client{URLs: []string{"http://" + server.Addr()}, MaxAttempts: 5, HTTP: httpjson.New()}
		_, err = client.Ask(t.Context(), callerapi.Query{RequestID: "r", Workload: "w", Body: json.RawMessage(`1`)})
		require.Error(t, err, name)
		require.Equal(t, verdict.Unknown, verdict.Of(err), name)
		require.Equal(t, 1, server.Requests(), name)
	}
}
