package target

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/standin/rawserver"
	"github.com/swiftvane/swiftvane/internal/support/bytebudget"
)

// TestRepliesWithoutEndStayWithinTheBudget lets targets send each part of a reply without end on
// many connections at once. It guards against a host that reads them until it has no memory.
func TestRepliesWithoutEndStayWithinTheBudget(t *testing.T) {
	const (
		conns = 32
		limit = 32 << 20
		// kernelBytes is what may be sent on a connection that is not read.
		kernelBytes = 8 << 20
	)
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := "4000\r\n" + strings.Repeat("a", 0x4000) + "\r\n"
	for name, reply := range map[string]struct{ begin, again string }{
		"head":     {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interims": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body":     {"HTTP/1.1 200 OK\r\n\r\n", "a"},
		"length":   {"HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n", "a"},
		"chunks":   {chunked, chunk},
		"trailer":  {chunked + "0\r\n", "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			again := rawserver.Repeat(reply.again)
			server, err := rawserver.StartEndless(func(r *http.Request, _ []byte) ([]byte, bool) {
				if r.URL.Path == PathLoad {
					return framed("length", subquery.Load{}), false
				}
				return []byte(reply.begin), true
			}, func(r *http.Request) []byte {
				if r.URL.Path == PathLoad {
					return nil
				}
				return again(r)
			})
			require.NoError(t, err)
			t.Cleanup(server.Close)
			dialer := NewHTTPDialer()
			dialer.Memory = bytebudget.New(bytebudget.Options{Limit: limit})
			var all sync.WaitGroup
			for range conns {
				all.Go(func() {
					conn, err := dialer.Dial(t.Context(), &model.Target{ID: "t", Addr: server.Addr()}, time.Minute)
					if err != nil {
						t.Error(err)
						return
					}
					defer func() { _ = conn.Close() }()
					request := &subquery.Request{RequestID: "r", Deadline: time.Now().Add(time.Minute)}
					answer := conn.Search(t.Context(), []Exchange{{ID: 7, Request: request}})[0]
					if answer.Verdict != verdict.Unknown || answer.Reason != verdict.ReplyMismatch || !conn.Broken() {
						t.Errorf("%+v", answer)
					}
				})
			}
			all.Wait()
			require.Zero(t, dialer.Memory.Held())
			require.Less(t, server.Sent(), int64(conns*(limit/replyShare+kernelBytes)))
		})
	}
}
