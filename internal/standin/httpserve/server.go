// Package httpserve serves HTTP for the stand-ins with one goroutine per
// connection. No goroutine outlives the listener and its connections.
package httpserve

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// maxBodyBytes bounds the size of a request body.
const maxBodyBytes = 64 << 20

// Serve serves handler on l until l is closed, and returns once its connections
// are closed too. It does not close open connections itself.
func Serve(l net.Listener, handler fasthttp.RequestHandler) {
	server := &fasthttp.Server{
		Handler:               handler,
		Logger:                discardLogger{},
		MaxRequestBodySize:    maxBodyBytes,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
	}
	var group sync.WaitGroup
	defer group.Wait()
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		group.Go(func() {
			_ = server.ServeConn(conn)
			_ = conn.Close()
		})
	}
}

// discardLogger discards the server's log lines, which report connections that
// tests close on purpose.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
