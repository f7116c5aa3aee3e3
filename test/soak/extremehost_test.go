package soak

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/hosts/catalogshare"
	"github.com/swiftvane/swiftvane/internal/hosts/gatherlink"
	"github.com/swiftvane/swiftvane/internal/standin/deployment"
)

// message is a message of a link between hosts, by the keys of its fields.
type message map[int]any

// Kinds of the frames of a gather link, see package gatherlink.
const (
	kindHeartbeat = iota
	kindRequest
	kindCancel
	kindAccepted
	kindRefused
	kindAnswer
	kindAsk
)

// Keys of the fields of a frame of a gather link.
const (
	keyKind    = 1
	keyID      = 2
	keyRequest = 3
	keyAnswer  = 4
)

// extremes are the numbers that each field of a message gets in turn.
var extremes = []int64{math.MaxInt64, math.MinInt64, 1 << 62, -(1 << 62), -1}

// frames returns the frames of a gather link's client with the extreme numbers.
func frames(n int64, id int) []message {
	terms := message{
		1: "other", 2: deployment.HostName, 3: "/other/", 4: true, 5: n, 6: n, 7: n, 8: n, 11: n, 12: math.Inf(int(n >> 62)),
		9: []message{{1: deployment.Single, 2: math.Inf(1)}},
	}
	sweep := message{
		1: "other", 2: deployment.HostName, 3: "/other/", 4: true, 5: int64(time.Second), 6: int64(time.Second), 8: n, 11: n, 12: math.NaN(),
		10: []string{deployment.Shard(0)},
	}
	var all []message
	for i, route := range []message{terms, sweep, {}} {
		request := message{
			1: fmt.Sprintf("of-host-%d-%d", id, i), 2: "GET", 3: deployment.HostName, 4: "/other/x", 8: n, 9: n, 10: 1, 11: n, 12: n, 14: 1, 15: math.MaxInt64, 16: route,
		}
		all = append(all, message{keyKind: kindRequest, keyID: 10*id + i, keyRequest: request})
	}
	loss := message{1: deployment.Single + "-0", 2: n, 3: n, 4: n}
	return append(all, message{keyKind: kindAsk, keyID: 10*id + 9, 7: []message{loss}})
}

// setExtremes replaces the numbers of a message of a catalog link.
func setExtremes(m message, n int64, members []message) {
	target := deployment.Single + "-0-start-1"
	m[4], m[6], m[7], m[26], m[31] = min(n, 0), n, n, n, n
	m[12], m[13] = map[string]int64{"a": n, "b": n, "c": n}, map[string]int64{"a": n, "b": n, "c": n}
	m[8] = []message{{1: uint64(n), 2: target, 3: n, 4: n, 5: deployment.Single}}
	m[32] = m[8]
	m[9] = []message{{1: target, 2: n, 3: n}, {1: target, 2: n, 3: n}}
	m[15], m[25] = []message{{1: "unknown", 2: n}}, []int64{n}
	m[16], m[17], m[29] = members, members, members
	m[22] = []message{{1: target, 2: n, 3: n}}
	m[23] = message{1: m[22], 2: []message{{1: target, 2: n, 3: n, 4: n}}}
	m[24] = message{1: 1, 2: uint64(n), 3: message{1: n}}
	m[27] = []message{{1: target, 2: 1, 3: true, 4: math.MaxFloat64, 5: 0}, {1: target, 2: 1, 3: true, 4: math.NaN(), 5: n}}
	m[28] = []message{{1: deployment.Single, 2: math.MaxFloat64}, {1: deployment.Single, 2: math.MaxFloat64}, {1: deployment.Shard(0), 2: math.Inf(1)}}
	m[30] = []message{{1: uint64(n), 2: deployment.Single, 3: n}}
}

// TestExtremeNumberOfLinkedHostEndsNoProcess guards against a number that another host states on a link
// which it has opened.
func TestExtremeNumberOfLinkedHostEndsNoProcess(t *testing.T) {
	e := newExtremeEnvironment(t, nil)
	e.runBeside(func(done <-chan struct{}) {
		for id := 1; !isClosed(done); id++ {
			n := extremes[id%len(extremes)]
			followed := message{2: 0, 18: true}
			setExtremes(followed, n, nil)
			for _, h := range e.hosts {
				h.sendMessages(catalogshare.Path+"?domain=a&addr=&capacity="+maxInt64, []message{followed})
				h.sendMessages(gatherlink.Path, frames(n, id))
			}
			time.Sleep(extremePause)
		}
	})
	e.stopAll()
}

// openLink opens a link to a host.
func openLink(addr, path string) (*websocket.Conn, error) {
	conn, answer, err := websocket.DefaultDialer.Dial("ws://"+addr+path, nil)
	if answer != nil {
		_ = answer.Body.Close()
	}
	return conn, err
}

// sendMessages sends messages on a new link to the host, and reads until none come.
func (h *host) sendMessages(path string, messages []message) {
	conn, err := openLink(h.peer.Addr(), path)
	if err != nil {
		h.env.t.Errorf("%s: %v", path, err)
		return
	}
	defer func() { _ = conn.Close() }()
	for _, m := range messages {
		raw, err := cbor.Marshal(m)
		require.NoError(h.env.t, err)
		if err := conn.WriteMessage(websocket.BinaryMessage, raw); err != nil {
			h.env.t.Errorf("%s: %v", path, err)
		}
	}
	_ = conn.SetReadDeadline(time.Now().Add(2 * extremePause))
	for err == nil {
		_, _, err = conn.ReadMessage()
	}
}
