package target

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/standin/rawserver"
)

// replyForms are replies with a body, by their form.
type replyForms func(headers, body string) map[string][]byte

// encoded returns the body of a reply.
func encoded(v any) string {
	raw, err := Encode(v)
	if err != nil {
		panic(err) // the bodies of the tests can be encoded
	}
	return string(raw)
}

// startForms starts a target whose replies have a form, chosen by name, and which reports its load
// in order if soundLoad is set. A connection closes after a reply to a search.
func startForms(t *testing.T, forms replyForms, soundLoad bool) (addr string, choose func(form string)) {
	t.Helper()
	var form atomic.Value
	server, err := rawserver.Start(func(r *http.Request, body []byte) ([]byte, bool) {
		if r.URL.Path == PathLoad {
			load := encoded(subquery.Load{})
			if soundLoad {
				return rawserver.Framings("200 OK", "", load)["length"], false
			}
			return forms("", load)[form.Load().(string)], true
		}
		var items []SearchItem
		if Decode(body, &items) != nil {
			return nil, true
		}
		return forms("", searchReply(items[0].ExchangeID))[form.Load().(string)], true
	})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server.Addr(), func(name string) { form.Store(name) }
}

// searchReply returns the body of a reply to a search with one exchange.
func searchReply(id uint64) string {
	return encoded([]AnswerItem{{ExchangeID: id, Status: StatusOK, Body: []byte("b")}})
}

// search dials a target and sends it one exchange.
func search(t *testing.T, addr string) (*subquery.Answer, Conn) {
	t.Helper()
	conn, err := NewHTTPDialer().Dial(t.Context(), &model.Target{ID: "t", Addr: addr}, time.Minute)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	request := &subquery.Request{RequestID: "r", Deadline: time.Now().Add(time.Minute)}
	return conn.Search(t.Context(), []Exchange{{ID: 7, Request: request}})[0], conn
}

// TestBrokenReplyIsUnknown guards against replies that the protocol forbids and that count as
// answers, and against connections that stay in use after them.
func TestBrokenReplyIsUnknown(t *testing.T) {
	addr, choose := startForms(t, rawserver.Broken, true)
	for form := range rawserver.Broken("", searchReply(1<<63)) {
		choose(form)
		answer, conn := search(t, addr)
		require.Equal(t, verdict.Unknown, answer.Verdict, form)
		require.Equal(t, verdict.ReplyMismatch, answer.Reason, "%s: %s", form, answer.Message)
		require.Empty(t, answer.Body, form)
		require.True(t, conn.Broken(), form)
	}
}

// TestBrokenLoadReportOpensNoConnection guards against a target whose first load report is
// broken and which is then taken for one that serves.
func TestBrokenLoadReportOpensNoConnection(t *testing.T) {
	addr, choose := startForms(t, rawserver.Broken, false)
	for form := range rawserver.Broken("", encoded(subquery.Load{})) {
		choose(form)
		_, err := NewHTTPDialer().Dial(t.Context(), &model.Target{ID: "t", Addr: addr}, time.Minute)
		require.Error(t, err, form)
	}
}

// TestUnusualReplyIsAnAnswer guards against valid replies that are refused.
func TestUnusualReplyIsAnAnswer(t *testing.T) {
	addr, choose := startForms(t, rawserver.Unusual, false)
	for form := range rawserver.Unusual("", searchReply(1<<63)) {
		choose(form)
		conn, err := NewHTTPDialer().Dial(t.Context(), &model.Target{ID: "t", Addr: addr}, time.Minute)
		require.NoError(t, err, form)
		_ = conn.Close()
	}
	addr, choose = startForms(t, rawserver.Unusual, true)
	for form := range rawserver.Unusual("", searchReply(1<<63)) {
		choose(form)
		answer, _ := search(t, addr)
		require.True(t, answer.OK(), "%s: %s", form, answer.Message)
	}
}
