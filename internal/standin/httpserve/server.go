// Package httpserve serves HTTP for the stand-ins with one goroutine a
// connection and none that outlives its listener and connections.
package httpserve

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 64 << 20

// Serve serves handler on l until l is closed, and returns once its connections
// are closed too. Closing those is the caller's job.
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

// discardLogger drops the server's notes on connections that tests cut.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
