package quarantine

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/domain/view"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

// testNet delivers messages between services synchronously, unless the sender or
// the receiver is partitioned.
type testNet struct {
	mu          sync.Mutex
	handlers    map[model.HostID]peer.Handler
	partitioned map[model.HostID]bool
}

// testEnd is one host's endpoint of a testNet. Methods that the tests do not use
// are left to the nil Transport.
type testEnd struct {
	peer.Transport
	net *testNet
	id  model.HostID
}

func (e *testEnd) Handle(_ peer.Kind, h peer.Handler) {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	e.net.handlers[e.id] = h
}

func (e *testEnd) handler(to model.HostID) peer.Handler {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	if e.net.partitioned[e.id] || e.net.partitioned[to] {
		return nil
	}
	return e.net.handlers[to]
}

func (e *testEnd) Go(to model.HostID, kind peer.Kind, req any, _ time.Time, done func(cbor.RawMessage, error)) func() {
	h := e.handler(to)
	if h == nil {
		done(nil, verdict.Refuse(verdict.PeerLinkLost, 0, "partitioned"))
		return func() {}
	}
	payload, err := cbor.Marshal(req)
	if err != nil {
		panic(err)
	}
	h(&peer.Inbound{Ctx: context.Background(), From: e.id, Kind: kind, Payload: payload, Reply: func(v any) {
		raw, err := cbor.Marshal(v)
		done(raw, err)
	}})
	return func() {}
}

func (e *testEnd) Send(to model.HostID, kind peer.Kind, msg any) error {
	e.Go(to, kind, msg, time.Time{}, func(cbor.RawMessage, error) {})
	return nil
}

type testViews struct{ hosts *model.HostList }

func (v testViews) Current() *view.View { return &view.View{Hosts: v.hosts} }

// newTestFleet starts n connected services and stops them at the end of the test.
func newTestFleet(t *testing.T, n int) ([]*Service, *testNet) {
	net := &testNet{handlers: make(map[model.HostID]peer.Handler), partitioned: make(map[model.HostID]bool)}
	list := &model.HostList{Revision: 1}
	for i := range n {
		list.Hosts = append(list.Hosts, model.Host{ID: testHostID(i), State: model.Live})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	services := make([]*Service, n)
	for i := range services {
		end := &testEnd{net: net, id: testHostID(i)}
		services[i] = New(Options{
			Self: list.Hosts[i], Incarnation: 1, Views: testViews{list}, Transport: end, Registrar: end, Scope: tally.NoopScope, Log: log,
		})
		running.Go(func() { _ = services[i].Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return services, net
}

func testHostID(i int) model.HostID { return model.HostID(fmt.Sprintf("host-%d", i)) }
