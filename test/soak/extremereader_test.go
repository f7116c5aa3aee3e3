package soak

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"math"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/swiftvane/swiftvane/internal/hosts/catalogshare"
	"github.com/swiftvane/swiftvane/internal/standin/deployment"
	"github.com/swiftvane/swiftvane/internal/standin/store"
	"github.com/swiftvane/swiftvane/test/harness"
)

// gatheringAddrs is the number of addresses of the extreme host. They are enough that it alone is chosen
// as a gatherer.
const gatheringAddrs = 4

// extremeHost is the only reader of the store to which the hosts link. What it says is what one of them says,
// with extreme numbers, and it alone is able to gather.
type extremeHost struct {
	t       *testing.T
	addrs   []string
	members []message

	listeners []net.Listener

	mu sync.Mutex
	// sent counts the messages, answers the sweeps that were answered.
	sent    int
	answers int
	// reader is the address of the host whose messages it passes on.
	reader string
	// conns has the open links.
	conns map[*websocket.Conn]bool
}

func startExtremeHost(t *testing.T) *extremeHost {
	x := &extremeHost{t: t, conns: map[*websocket.Conn]bool{}}
	for range gatheringAddrs {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		server := &fasthttp.Server{Handler: x.handle}
		go func() { _ = server.Serve(l) }()
		x.listeners = append(x.listeners, l)
		x.addrs = append(x.addrs, l.Addr().String())
		x.members = append(x.members, message{1: l.Addr().String(), 2: "a", 3: math.MaxInt64})
	}
	t.Cleanup(x.close)
	return x
}

// close ends all links and accepts no more.
func (x *extremeHost) close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, l := range x.listeners {
		_ = l.Close()
	}
	for conn := range x.conns {
		_ = conn.Close()
	}
}

// setOpen records that a link is open, or closes it.
func (x *extremeHost) setOpen(conn *websocket.Conn, open bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if open {
		x.conns[conn] = true
		return
	}
	delete(x.conns, conn)
	_ = conn.Close()
}

// next returns the number of the next message and the extreme number in it.
func (x *extremeHost) next() (int, int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sent++
	return x.sent, extremes[x.sent%len(extremes)]
}

// follow sets the host whose messages are passed on.
func (x *extremeHost) follow(reader string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.reader = reader
}

func (x *extremeHost) followed() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.reader
}

func (x *extremeHost) answered() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.answers
}

func (x *extremeHost) handle(ctx *fasthttp.RequestCtx) {
	uri := string(ctx.RequestURI())
	upgrader := websocket.FastHTTPUpgrader{CheckOrigin: func(*fasthttp.RequestCtx) bool { return true }}
	serve := x.gather
	if strings.HasPrefix(uri, catalogshare.Path) {
		serve = func(conn *websocket.Conn) { x.passOn(conn, uri) }
	}
	_ = upgrader.Upgrade(ctx, func(conn *websocket.Conn) {
		x.setOpen(conn, true)
		// The server reuses the connection once this function returns.
		defer x.setOpen(conn, false)
		serve(conn)
	})
}

// passOn serves a catalog link by the messages of the reader.
func (x *extremeHost) passOn(to *websocket.Conn, uri string) {
	from, err := openLink(x.followed(), uri)
	if err != nil {
		return
	}
	defer func() { _ = from.Close() }()
	for {
		_, raw, err := from.ReadMessage()
		if err != nil {
			return
		}
		m := message{}
		if raw[0] == 0 {
			if raw, err = io.ReadAll(flate.NewReader(bytes.NewReader(raw[1:]))); err != nil {
				return
			}
		}
		if err := cbor.Unmarshal(raw, &m); err != nil {
			return
		}
		_, n := x.next()
		setExtremes(m, n, x.members)
		if raw, err = cbor.Marshal(m); err != nil || to.WriteMessage(websocket.BinaryMessage, raw) != nil {
			return
		}
	}
}

// gather serves a gather link. It answers sweeps with extremePrefix with extreme numbers and refuses others.
func (x *extremeHost) gather(conn *websocket.Conn) {
	var writing sync.Mutex
	write := func(m message) bool {
		writing.Lock()
		defer writing.Unlock()
		raw, err := cbor.Marshal(m)
		return err == nil && conn.WriteMessage(websocket.BinaryMessage, raw) == nil
	}
	var beating sync.WaitGroup
	// The server reuses the connection once this function returns.
	defer beating.Wait()
	beating.Go(func() {
		for {
			_, n := x.next()
			if !write(message{keyKind: kindHeartbeat, 5: n, 6: min(n, 0), 9: true, 10: true}) {
				return
			}
			time.Sleep(10 * extremePause)
		}
	})
	defer func() { _ = conn.Close() }() // ends the heartbeats
	for {
		_, raw, err := conn.ReadMessage()
		if err != nil {
			return
		}
		var f struct {
			Kind    int    `cbor:"1,keyasint"`
			ID      uint64 `cbor:"2,keyasint"`
			Request struct {
				ID string `cbor:"1,keyasint"`
			} `cbor:"3,keyasint"`
		}
		if cbor.Unmarshal(raw, &f) != nil || f.Kind != kindRequest {
			continue
		}
		if !strings.HasPrefix(f.Request.ID, extremePrefix) {
			write(message{keyKind: kindRefused, keyID: f.ID})
			continue
		}
		write(message{keyKind: kindAccepted, keyID: f.ID})
		write(message{keyKind: kindAnswer, keyID: f.ID, keyAnswer: x.answer()})
	}
}

// answer returns an answer with extreme numbers.
func (x *extremeHost) answer() message {
	i, n := x.next()
	x.mu.Lock()
	x.answers++
	x.mu.Unlock()
	trace := map[string]any{
		"Route": "sweep", "Sweep": true, "ConfigVersion": n, "Objective": n, "Priority": n, "Hedges": n, "Retries": n, "Denied": n,
		"Shards": n, "Parts": n, "Legs": []map[string]any{{"Service": "a", "Tried": n, "SentMS": n, "EstimateMS": n}},
	}
	status, missing := 200, int64(0)
	switch i % 3 {
	case 1:
		status = 503
	case 2:
		missing = n
	}
	return message{1: status, 2: []string{"s.1"}, 3: missing, 5: n, 7: trace}
}

// TestExtremeNumberOfReaderEndsNoProcess guards against a number that a host states on links that others
// have opened to it: as a reader of the store, and as a gatherer.
func TestExtremeNumberOfReaderEndsNoProcess(t *testing.T) {
	x := startExtremeHost(t)
	e := newEnvironment(t, 1)
	e.measured, e.seeds = true, x.addrs[:1]
	e.startPlatform(deployment.Options{Attempts: 3, Work: work, Timeout: timeout, MaxConns: gatheringConns}, singles)
	e.addHosts(readers)
	x.follow(e.hosts[0].peer.Addr())
	harness.Eventually(t, "all hosts are ready", e.allReady)
	e.runBeside(func(done <-chan struct{}) {
		for n := 0; !isClosed(done) || x.answered() == 0; n++ {
			id := fmt.Sprintf("%ssweep-%d", extremePrefix, n)
			if _, err := e.sendRaw(e.anyHost(), "/sweep/x", id); err != nil {
				t.Errorf("%s: %v", id, err)
				return
			}
			time.Sleep(extremePause)
		}
		// Hosts that can't reach the store wait the longer the more of them there are.
		e.platform.Store.SetFault(store.Busy)
		x.close()
		time.Sleep(extremeLasts)
		e.platform.Store.SetFault(store.None)
	})
	e.stopAll()
}
