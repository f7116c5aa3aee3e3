// Package httpdial opens the connections of HTTP clients. What a client reads on them is checked by
// package httpreply before its library parses it.
package httpdial

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/swiftvane/swiftvane/internal/domain/httpreply"
)

// Func returns a function that opens connections within timeout. With isTLS, it also performs the
// TLS handshake.
func Func(timeout time.Duration, isTLS bool) fasthttp.DialFunc {
	if isTLS {
		return dialFunc(timeout, &tls.Config{MinVersion: tls.VersionTLS12})
	}
	return dialFunc(timeout, nil)
}

// dialFunc is Func with the configuration of TLS, nil for plain connections.
func dialFunc(timeout time.Duration, security *tls.Config) fasthttp.DialFunc {
	dialer := &net.Dialer{Timeout: timeout}
	return func(addr string) (net.Conn, error) {
		if security == nil {
			return dialPlain(dialer, addr)
		}
		raw, err := tls.DialWithDialer(dialer, "tcp", addr, security)
		if err != nil {
			return nil, err
		}
		return &secureConn{Conn: httpreply.NewConn(raw), raw: raw}, nil
	}
}

func dialPlain(dialer *net.Dialer, addr string) (net.Conn, error) {
	raw, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return httpreply.NewConn(raw), nil
}

// WebSocket returns a function that opens plain connections by dialer for clients of WebSockets. The
// reply to the handshake is checked.
func WebSocket(dialer *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		raw, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return httpreply.NewUpgradeConn(raw), nil
	}
}

// secureConn is a connection with TLS. Its method Handshake tells fasthttp not to add TLS itself.
type secureConn struct {
	*httpreply.Conn
	raw *tls.Conn
}

// Handshake has nothing left to do.
func (c *secureConn) Handshake() error { return c.raw.Handshake() }
