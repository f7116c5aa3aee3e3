package peer

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// waitLimit bounds how long a test waits for a condition. It asserts no speed.
const waitLimit = 20 * time.Second

func TestMain(m *testing.M) {
	// fasthttp keeps these goroutines until the process ends or until some seconds
	// after a server has stopped.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

type message struct {
	Text string `cbor:"1,keyasint"`
}

// addressTable maps hosts to peer addresses, for Options.Lookup.
type addressTable struct {
	mu     sync.Mutex
	byHost map[model.HostID]string
}

func (a *addressTable) lookup(id model.HostID) (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	addr, ok := a.byHost[id]
	return addr, ok
}

func (a *addressTable) set(id model.HostID, addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byHost[id] = addr
}

var testKey = []byte("0123456789abcdef0123456789abcdef")

func quietLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return log
}

func startMesh(t testing.TB, id model.HostID, addrs *addressTable, change func(*Options), handlers map[Kind]Handler) (*Mesh, tally.TestScope) {
	t.Helper()
	scope := tally.NewTestScope("", nil)
	opts := Options{Self: id, ListenAddr: "127.0.0.1:0", Keys: [][]byte{testKey}, Lookup: addrs.lookup, Scope: scope, Log: quietLog()}
	if change != nil {
		change(&opts)
	}
	m, err := NewMesh(opts)
	require.NoError(t, err)
	for kind, h := range handlers {
		m.Handle(kind, h)
	}
	require.NoError(t, m.Start(context.Background()))
	t.Cleanup(func() { _ = m.Close() })
	addrs.set(id, m.Addr())
	return m, scope
}

func echo(in *Inbound) {
	var msg message
	if Decode(in.Payload, &msg) == nil {
		in.Reply(&msg)
	}
}

func newAddressTable() *addressTable { return &addressTable{byHost: make(map[model.HostID]string)} }

func TestCallIsAnswered(t *testing.T) {
	addrs := newAddressTable()
	a, _ := startMesh(t, "a", addrs, nil, nil)
	startMesh(t, "b", addrs, nil, map[Kind]Handler{KindClaim: echo})
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	var reply message
	require.NoError(t, a.Call(ctx, "b", KindClaim, &message{"hello"}, &reply))
	require.Equal(t, "hello", reply.Text)
}

func TestRefusalReachesTheCallerUnchanged(t *testing.T) {
	addrs := newAddressTable()
	a, _ := startMesh(t, "a", addrs, nil, nil)
	want := &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.NotOwner, Field: "f", Message: "m", RetryAfter: time.Second}
	startMesh(t, "b", addrs, nil, map[Kind]Handler{KindClaim: func(in *Inbound) { in.Reply(want) }})
	for _, to := range []model.HostID{"b"} {
		err := a.Call(t.Context(), to, KindClaim, &message{}, nil)
		require.Equal(t, want, err)
	}
	err := a.Call(t.Context(), "b", KindOutcome, &message{}, nil)
	require.Equal(t, verdict.NotRun, verdict.Of(err))
}

func TestCallToUnreachablePeerIsNotRun(t *testing.T) {
	addrs := newAddressTable()
	a, _ := startMesh(t, "a", addrs, nil, nil)
	addrs.set("b", "127.0.0.1:1")
	for range 3 {
		err := a.Call(t.Context(), "b", KindClaim, &message{}, nil)
		require.Equal(t, verdict.NotRun, verdict.Of(err))
	}
	require.Equal(t, verdict.NotRun, verdict.Of(a.Call(t.Context(), "nobody", KindClaim, &message{}, nil)))
}
