package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/swiftvane/swiftvane/internal/support/cputime"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/decision/drain"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/domain/view"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

// startPair starts a sending host h0 and a host h1, which owns the targets. It
// returns the router of h0 and the Local of h1.
func startPair(tb testing.TB, v *view.View, targets *fakeTargets) (*Router, *Local) {
	tb.Helper()
	addresses := map[model.HostID]string{}
	lookup := func(id model.HostID) (string, bool) { addr, ok := addresses[id]; return addr, ok }
	mesh := func(id model.HostID) *peer.Mesh {
		log := logrus.New()
		log.SetLevel(logrus.PanicLevel)
		m, err := peer.NewMesh(peer.Options{
			Self: id, ListenAddr: "127.0.0.1:0", Keys: [][]byte{[]byte("0123456789abcdef")}, Lookup: lookup,
			Scope: tally.NoopScope, Log: log,
		})
		require.NoError(tb, err)
		return m
	}
	sender, owner := mesh("h0"), mesh("h1")
	ownerView := *v
	ownerView.Self.ID = "h1"
	local := newTestLocal(newViews(&ownerView), targets)
	RegisterHandler(owner, local)
	require.NoError(tb, owner.Start(context.Background()))
	addresses["h1"] = owner.Addr()
	require.NoError(tb, sender.Start(context.Background()))
	local.Start()
	tb.Cleanup(func() {
		stopLocal(local)
		_ = sender.Close()
		_ = owner.Close()
	})
	senderView := *v
	senderView.Self.ID = "h0"
	return NewRouter(RouterOptions{Views: newViews(&senderView), Remote: NewRemote(sender), Scope: tally.NoopScope}), local
}

func TestSubrequestsRunOnTargetOwner(t *testing.T) {
	r, _ := startPair(t, ownView("h1", 3, 2, 25), newFakeTargets())
	answers := make(chan [2]string, 60)
	for i := range 60 {
		shard := fmt.Sprint(i)
		r.Submit(subrequest(model.TargetID(fmt.Sprintf("t%d", i%3)), shard, time.Minute), func(a *subquery.Answer) {
			answers <- [2]string{shard, string(a.Body)}
		})
	}
	for range 60 {
		got := <-answers
		require.Equal(t, got[0], got[1])
	}
}

func TestCancelReachesTargetOwner(t *testing.T) {
	targets := newFakeTargets()
	started := make(chan struct{}, 1)
	targets.serve = func(ctx context.Context, req *subquery.Request) *subquery.Answer {
		started <- struct{}{}
		return blockUntilDone(ctx, req)
	}
	r, _ := startPair(t, ownView("h1", 1, 2, 25), targets)
	got := make(chan *subquery.Answer, 1)
	cancel := r.Submit(subrequest("t0", "s", time.Minute), func(a *subquery.Answer) { got <- a })
	<-started
	cancel()
	a := <-got
	require.Equal(t, verdict.Cancelled, a.Reason)
	require.Equal(t, verdict.Unknown, a.Verdict)
	eventually(t, func() bool {
		targets.mu.Lock()
		defer targets.mu.Unlock()
		return len(targets.cancelled) == 1
	})
}

func TestStoppedOwnerAnswersNotRun(t *testing.T) {
	r, local := startPair(t, ownView("h1", 1, 2, 25), newFakeTargets())
	stopLocal(local)
	a := routeAndWait(r, subrequest("t0", "s", time.Minute))
	require.Equal(t, verdict.HostStopping, a.Reason)
	require.Equal(t, verdict.NotRun, a.Verdict)
}

// BenchmarkRemote reports the CPU time of one sub-request from one host's router
// over a peer link to the other host's target and back, for both hosts together.
func BenchmarkRemote(b *testing.B) {
	for _, shards := range []int{20, 1400} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			const targets = 12
			r, _ := startPair(b, ownView("h1", targets, 64, 1000), newFakeTargets())
			body := []byte(`{"query":"kiosk"}`)
			b.ReportAllocs()
			before := cputime.Used()
			for b.Loop() {
				done := make(chan struct{}, shards)
				for i := range shards {
					req := subrequest(model.TargetID(fmt.Sprintf("t%d", i%targets)), "s", time.Minute)
					req.Body = body
					r.Submit(req, func(*subquery.Answer) { done <- struct{}{} })
				}
				for range shards {
					<-done
				}
			}
			b.ReportMetric(float64((cputime.Used()-before).Microseconds())/float64(b.N)/float64(shards), "cpu-µs/subrequest")
		})
	}
}

// TestStoppingOwnerRefusesSubrequestsThatItCannotFinish guards against taking a sub-request
// that the stop ends although the standby can finish it.
func TestStoppingOwnerRefusesSubrequestsThatItCannotFinish(t *testing.T) {
	local := newTestLocal(newViews(ownView("h1", 1, 2, 25)), newFakeTargets())
	local.Start()
	defer stopLocal(local)
	r := &Receiver{local: local}
	now := time.Now()
	r.Drain(drain.NewSchedule(now, time.Minute, time.Minute))
	for deadline, reason := range map[time.Duration]verdict.Reason{time.Hour: verdict.HostStopping, time.Minute: ""} {
		payload, err := cbor.Marshal(subrequest("t0", "s", 0))
		require.NoError(t, err)
		replies := make(chan any, 1)
		r.receive(&peer.Inbound{Ctx: t.Context(), Deadline: now.Add(deadline), Payload: payload, Reply: func(v any) { replies <- v }})
		a := (<-replies).(*subquery.Answer)
		require.Equal(t, reason, a.Reason)
		require.Equal(t, reason == "", a.Verdict == verdict.Ran)
	}
}
