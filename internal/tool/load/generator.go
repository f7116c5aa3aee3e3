package load

import (
	"context"
	"encoding/json"
	"sync"
	"time"
)

// sample is the result of one finished query.
type sample struct {
	share   *Share
	outcome Outcome
	// took is the time from the intended arrival to the outcome.
	took time.Duration
}

// Progress is called periodically during a run with the time elapsed, the length
// of the run and the number of queries sent, all including the warm-up.
type Progress func(elapsed, total time.Duration, sent int)

// progressInterval is the shortest time between two calls of Progress.
const progressInterval = 200 * time.Millisecond

// Generate sends the queries of run to client, waits for their outcomes and reports
// them. If ctx ends, no more queries are sent and the report covers those sent
// until then. progress may be nil.
func Generate(ctx context.Context, run *Run, client Client, progress Progress) (*Report, error) {
	if err := run.Check(); err != nil {
		return nil, err
	}
	samples := make(chan sample, run.MaxInflight)
	recorder := newRecorder(run)
	var recording sync.WaitGroup
	recording.Go(func() {
		for s := range samples {
			recorder.add(&s)
		}
	})
	g := &generator{run: run, client: client, samples: samples, permits: make(chan struct{}, run.MaxInflight)}
	started := time.Now()
	g.loop(ctx, started, progress)
	arrivalsTook := time.Since(started)
	g.inflight.Wait()
	close(samples)
	recording.Wait()
	return recorder.report(started, arrivalsTook, g), nil
}

// generator sends the queries of a run. The counters leave out the warm-up unless
// stated otherwise; only the loop changes them.
type generator struct {
	run     *Run
	client  Client
	samples chan<- sample
	// permits holds one element for each query in flight.
	permits  chan struct{}
	inflight sync.WaitGroup
	offered  int
	sent     int
	notSent  int
	// totalSent counts the queries sent, warm-up included.
	totalSent int
	// maxDelay is the longest delay between the intended arrival of a query and its
	// sending.
	maxDelay time.Duration
}

// loop sends each query at its arrival until the run is over or ctx ends.
func (g *generator) loop(ctx context.Context, started time.Time, progress Progress) {
	arrivals := newArrivals(g.run)
	total := time.Duration(g.run.Warmup) + time.Duration(g.run.Duration)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var reported time.Duration
	for number := 0; ; number++ {
		at := arrivals.next()
		if at >= total {
			return
		}
		timer.Reset(time.Until(started.Add(at)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if elapsed := time.Since(started); progress != nil && elapsed-reported >= progressInterval {
			reported = elapsed
			progress(elapsed, total, g.totalSent)
		}
		g.send(ctx, number, arrivals.pick(), started.Add(at), at >= time.Duration(g.run.Warmup))
	}
}

// send starts one query without waiting for its outcome. If MaxInflight queries
// are in flight, the query is dropped and counted as not sent. counted is false
// during the warm-up.
func (g *generator) send(ctx context.Context, number int, share *Share, intended time.Time, counted bool) {
	if counted {
		g.offered++
	}
	select {
	case g.permits <- struct{}{}:
	default:
		if counted {
			g.notSent++
		}
		return
	}
	g.totalSent++
	if counted {
		g.sent++
		g.maxDelay = max(g.maxDelay, time.Since(intended))
	}
	q := &Query{
		Number:     number,
		Caller:     share.Caller,
		Workload:   share.Workload,
		Services:   share.Services,
		Body:       json.RawMessage(share.Body),
		Deadline:   time.Duration(g.run.DeadlineMS) * time.Millisecond,
		Idempotent: share.Idempotent,
	}
	g.inflight.Go(func() {
		outcome := g.client.Ask(ctx, q)
		<-g.permits
		if counted {
			g.samples <- sample{share: share, outcome: outcome, took: time.Since(intended)}
		}
	})
}
