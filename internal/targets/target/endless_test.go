package target

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
		// readBufferBytes is what a connection's buffer may hold beyond the body.
		readBufferBytes = 64 << 10
	)
	for name, reply := range rawserver.EndlessReplies() {
		t.Run(name, func(t *testing.T) {
			again := rawserver.Repeat(reply.Again)
			server, err := rawserver.StartEndless(func(r *http.Request, _ []byte) ([]byte, bool) {
				if r.URL.Path == PathLoad {
					return framed("length", subquery.Load{}), false
				}
				return []byte(reply.Begin), true
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
			var read atomic.Int64
			for range conns {
				all.Go(func() {
					raw, err := net.Dial("tcp", server.Addr())
					if err != nil {
						t.Error(err)
						return
					}
					conn := newHTTPConn(rawserver.CountReads(raw, &read), server.Addr(), dialer)
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
			require.Less(t, read.Load(), int64(conns*(limit/replyShare+readBufferBytes)))
		})
	}
}
