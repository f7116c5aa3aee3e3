package targetpool

import (
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/slowstart"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/standin/echo"
)

// countingDialer counts the connections opened and those still open.
type countingDialer struct{ dials, open atomic.Int32 }

func (d *countingDialer) Dial(string, time.Duration) (net.Conn, error) {
	d.dials.Add(1)
	d.open.Add(1)
	return echo.Connect(echoTime, func() { d.open.Add(-1) }), nil
}

// domainView returns a view of one target in each failure domain, with their ids as names.
func domainView(revision int64, evacuated ...string) *catalog.View {
	targets := map[catalog.TargetID]*catalog.Target{}
	for _, domain := range []string{"x", "y"} {
		id := catalog.TargetID(domain)
		targets[id] = &catalog.Target{ID: id, Service: "s", Addr: domain, FailureDomain: domain, Slots: 1}
	}
	var all []catalog.Evacuation
	for _, domain := range evacuated {
		all = append(all, catalog.Evacuation{Domain: domain, Since: time.Now()})
	}
	return catalog.NewView(nil, catalog.Position{Revision: revision}, targets, all...)
}

func newEvacuationDirectory(dialer Dialer) *Directory {
	d := NewDirectory(Options{Codec: echo.Codec{}, Dialer: dialer, Log: discardLogger(), Host: "h"})
	d.SetFleet(Fleet{Hosts: 1})
	return d
}

func submitFor(p *Pool, id string) <-chan Outcome {
	done := make(chan Outcome, 1)
	deadline := time.Now().Add(time.Minute)
	p.Submit(&Call{Request: &exchange.Request{ID: id}, Deadline: deadline, OnTime: deadline, Done: func(o Outcome) { done <- o }})
	return done
}

// TestEvacuatedTargetGetsNothingAndFinishesCallsInFlight guards against calls that wait
// for a connection and are sent after the evacuation has begun, against connections that
// stay open or are opened again, and against calls in flight that are cut off.
func TestEvacuatedTargetGetsNothingAndFinishesCallsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialer := &countingDialer{}
		d := newEvacuationDirectory(dialer)
		d.Update(domainView(1))
		synctest.Wait()
		p := d.pools["x"]
		sent, waiting := submitFor(p, "sent"), submitFor(p, "waiting")
		synctest.Wait()
		d.Update(domainView(2, "x"))
		ended := <-waiting
		require.ErrorIs(t, ended.Err, ErrEvacuated)
		require.Equal(t, verdict.NotRun, ended.Verdict)
		require.Zero(t, ended.Sent)
		require.Equal(t, 1, d.Evacuations()[0].InFlight)
		require.NotNil(t, (<-sent).Reply)
		dials := dialer.dials.Load()
		refused := <-submitFor(p, "refused")
		require.ErrorIs(t, refused.Err, ErrEvacuated)
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Equal(t, dials, dialer.dials.Load())
		require.EqualValues(t, 1, dialer.open.Load(), "only the other target's connection is open")
		load := p.Load(time.Now())
		require.True(t, load.Evacuated)
		require.False(t, load.Usable())
		require.Equal(t, 0, d.Evacuations()[0].InFlight)
		require.Equal(t, 1, d.Evacuations()[0].Targets)
		require.Len(t, d.Snapshot().Group("s").Evacuated, 1)
		d.Update(catalog.NewView(nil, catalog.Position{Revision: 3}, nil))
	})
}

// TestReturnFromEvacuationIsGradual guards against a failure domain that all hosts
// connect to and load at once when its evacuation ends, also where the target has
// restarted meanwhile.
func TestReturnFromEvacuationIsGradual(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialer := &countingDialer{}
		d := newEvacuationDirectory(dialer)
		d.Update(domainView(1))
		d.Update(domainView(2, "x"))
		synctest.Wait()
		d.Update(domainView(3))
		began, p := time.Now(), d.pools["x"]
		require.Equal(t, began, p.resumedAt)
		require.Zero(t, d.pools["y"].resumedAt)
		require.Greater(t, p.Load(began).Withheld, 0.9)
		time.Sleep(slowstart.MinPeriod)
		synctest.Wait()
		require.Zero(t, p.Load(time.Now()).Withheld)
		require.EqualValues(t, 2, dialer.open.Load(), "the warm connection is open again")

		d.Update(domainView(4, "x"))
		d.Update(domainView(5))
		ended := time.Now()
		time.Sleep(time.Second)
		restarted := domainView(6)
		restarted.Targets["x"].Born = 2
		d.Update(restarted)
		require.Equal(t, ended, d.pools["x"].resumedAt)
		require.Positive(t, d.pools["x"].Load(time.Now()).Withheld)
		d.Update(catalog.NewView(nil, catalog.Position{Revision: 7}, nil))
		time.Sleep(time.Minute)
	})
}

// TestUnreachableTargetIsTriedAgainAfterEvacuation guards against a target that was down
// when its evacuation began and is never dialed again.
func TestUnreachableTargetIsTriedAgainAfterEvacuation(t *testing.T) {
	p := NewPool(&catalog.Target{ID: "x", Addr: "x"}, &Options{Codec: echo.Codec{}, Dialer: &countingDialer{}, Log: discardLogger()})
	p.failures = 3
	p.evacuate(time.Now())
	p.resume(time.Now(), time.Second)
	load := p.Load(time.Now())
	require.True(t, load.Usable())
	p.Close()
}

// TestTargetThatChangesFailureDomainIsKnownByTheNewOne guards against a choice by the
// failure domain that a target had before: it decides about evacuations and home regions.
func TestTargetThatChangesFailureDomainIsKnownByTheNewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newEvacuationDirectory(&countingDialer{})
		d.Update(domainView(1))
		moved := domainView(2)
		target := *moved.Targets["x"]
		target.FailureDomain = "z"
		d.Update(catalog.NewView(nil, catalog.Position{Revision: 2}, map[catalog.TargetID]*catalog.Target{"x": &target}))
		require.Equal(t, "z", d.Snapshot().Group("s").Pools[0].Target().FailureDomain)
		d.Update(catalog.NewView(nil, catalog.Position{Revision: 3}, nil))
		time.Sleep(time.Minute)
	})
}
