package callerclient

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/swiftvane/swiftvane/internal/face/callerapi"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/support/httpjson"
)

// scriptedServer answers the nth request with the nth answer, and repeats the last
// answer for all further requests.
type scriptedServer struct {
	answers []func(http.ResponseWriter, string)
	mu      sync.Mutex
	ids     []string
}

// sent returns the ids of the requests received so far.
func (s *scriptedServer) sent() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.ids)
}

func (s *scriptedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q callerapi.Query
	content, _ := io.ReadAll(r.Body)
	if err := json.Unmarshal(content, &q); err != nil || r.Header.Get(callerapi.HeaderCaller) != "desk" {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.ids = append(s.ids, q.RequestID)
	nth := min(len(s.ids), len(s.answers))
	s.mu.Unlock()
	s.answers[nth-1](w, q.RequestID)
}

func refusal(verdictName string, retryAfterMS int) func(http.ResponseWriter, string) {
	return func(w http.ResponseWriter, id string) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprintf(w, `{"request_id":%q,"verdict":%q,"reason":"queue_full","message":"m","retry_after_ms":%d}`, id, verdictName, retryAfterMS)
	}
}

func fullAnswer(w http.ResponseWriter, id string) {
	_, _ = fmt.Fprintf(w, `{"request_id":%q,"snapshot":7,"coverage":{"shards":1,"answered":1}}`, id)
}

func sendQuery(t *testing.T, attempts int, answers ...func(http.ResponseWriter, string)) (*scriptedServer, *callerapi.Answer, error) {
	t.Helper()
	s := &scriptedServer{answers: answers}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	client := &Client{URLs: []string{server.URL}, Caller: "desk", MaxAttempts: attempts, HTTP: httpjson.New()}
	t.Cleanup(client.HTTP.Close)
	answer, err := client.Ask(t.Context(), callerapi.Query{Workload: "w", Body: json.RawMessage(`{}`)})
	return s, answer, err
}

func TestNotRunWithRetryAfterIsRetriedUnderSameID(t *testing.T) {
	s, answer, err := sendQuery(t, 3, refusal("not_run", 1), refusal("not_run", 1), fullAnswer)
	require.NoError(t, err)
	require.EqualValues(t, 7, answer.Snapshot)
	require.Len(t, s.sent(), 3)
	ids := s.sent()
	require.NotEmpty(t, ids[0])
	require.Equal(t, []string{ids[0], ids[0], ids[0]}, ids)
}

func TestRequestThatMayHaveRunIsNotRetried(t *testing.T) {
	closeConnection := func(w http.ResponseWriter, _ string) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		_ = conn.Close()
	}
	proxyError := func(w http.ResponseWriter, _ string) { http.Error(w, "bad gateway", http.StatusBadGateway) }
	mismatched := func(w http.ResponseWriter, _ string) { fullAnswer(w, "another") }
	for name, answer := range map[string]func(http.ResponseWriter, string){
		"unknown": refusal("unknown", 1), "connection closed": closeConnection, "no verdict": proxyError, "answer to another request": mismatched,
	} {
		t.Run(name, func(t *testing.T) {
			s, _, err := sendQuery(t, 5, answer)
			require.Equal(t, verdict.Unknown, verdict.Of(err))
			require.Len(t, s.sent(), 1)
		})
	}
}

func TestRetriesAreBoundedAndRequireRetryAfter(t *testing.T) {
	s, _, err := sendQuery(t, 4, refusal("not_run", 1))
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.Len(t, s.sent(), 4)

	s, _, err = sendQuery(t, 4, refusal("not_run", 0))
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.Len(t, s.sent(), 1)
}

func TestNoRetryIfRetryAfterExceedsDeadline(t *testing.T) {
	s := &scriptedServer{answers: []func(http.ResponseWriter, string){refusal("not_run", 3_600_000)}}
	server := httptest.NewServer(s)
	defer server.Close()
	client := &Client{URLs: []string{server.URL}, Caller: "desk", MaxAttempts: 5, HTTP: httpjson.New()}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := client.Ask(ctx, callerapi.Query{Body: json.RawMessage(`1`)})
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.Len(t, s.sent(), 1)
}

func TestRefusedConnectionFallsBackToNextHost(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := "http://" + ln.Addr().String()
	require.NoError(t, ln.Close())
	s := &scriptedServer{answers: []func(http.ResponseWriter, string){fullAnswer}}
	server := httptest.NewServer(s)
	defer server.Close()

	client := &Client{URLs: []string{closed, server.URL}, Caller: "desk", HTTP: httpjson.New()}
	_, err = client.Ask(t.Context(), callerapi.Query{Body: json.RawMessage(`1`)})
	require.NoError(t, err)

	client.URLs = []string{closed}
	_, err = client.Ask(t.Context(), callerapi.Query{Body: json.RawMessage(`1`)})
	require.Equal(t, verdict.NotRun, verdict.Of(err))
}
