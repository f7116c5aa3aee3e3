package target

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/standin/rawserver"
)

var framings = []string{"length", "interim", "chunks", "no length"}

// framed returns a reply with the encoded body, which is delimited in the given way.
func framed(framing string, body any) []byte {
	raw, err := Encode(body)
	if err != nil {
		panic(err) // the bodies of the tests can be encoded
	}
	return rawserver.Framings("200 OK", "", string(raw))[framing]
}

// startCut starts a target whose replies to searches end early, and dials it.
func startCut(t *testing.T, framing string) (dial func() Conn, cut *rawserver.Cut, server *rawserver.Server) {
	t.Helper()
	cut = rawserver.NewCut(func(_ *http.Request, body []byte) []byte {
		var items []SearchItem
		if Decode(body, &items) != nil {
			return nil
		}
		return framed(framing, []AnswerItem{{ExchangeID: items[0].ExchangeID, Status: StatusOK, Body: []byte("b")}})
	})
	server, err := rawserver.Start(func(r *http.Request, body []byte) ([]byte, bool) {
		if r.URL.Path == PathLoad {
			return framed("length", subquery.Load{}), false
		}
		return cut.Answer(r, body)
	})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	dialer := NewHTTPDialer()
	return func() Conn {
		conn, err := dialer.Dial(t.Context(), &model.Target{ID: "t", Addr: server.Addr()}, time.Minute)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}, cut, server
}

// TestCutReplyIsUnknownAndNotAskedAgain guards against a target that stops within a reply, of
// which the rest counts as an answer, and against work that is sent again.
func TestCutReplyIsUnknownAndNotAskedAgain(t *testing.T) {
	for _, framing := range framings {
		dial, cut, server := startCut(t, framing)
		search := func() (*subquery.Answer, Conn) {
			conn := dial()
			request := &subquery.Request{RequestID: "r", Deadline: time.Now().Add(time.Minute)}
			return conn.Search(t.Context(), []Exchange{{ID: 7, Request: request}})[0], conn
		}
		answer, _ := search()
		require.True(t, answer.OK(), "%s: %s", framing, answer.Message)
		for n := range cut.Size() {
			cut.After(n)
			before := server.Requests()
			answer, conn := search()
			require.Equal(t, verdict.Unknown, answer.Verdict, "%s, cut after %d bytes", framing, n)
			require.Empty(t, answer.Body)
			require.True(t, conn.Broken())
			require.Equal(t, before+2, server.Requests(), "a probe and a search")
		}
	}
}

// TestCutLoadReportOpensNoConnection guards against a target that stops within its first load
// report and is then taken for one that serves.
func TestCutLoadReportOpensNoConnection(t *testing.T) {
	for _, framing := range framings {
		raw := framed(framing, subquery.Load{Inflight: 1})
		cut := rawserver.NewCut(func(*http.Request, []byte) []byte { return raw })
		server, err := rawserver.Start(cut.Answer)
		require.NoError(t, err)
		t.Cleanup(server.Close)
		for n := range raw {
			cut.After(n)
			_, err := NewHTTPDialer().Dial(t.Context(), &model.Target{ID: "t", Addr: server.Addr()}, time.Minute)
			require.Error(t, err, "%s, cut after %d bytes", framing, n)
		}
	}
}
