package load

import (
	"context"
	"encoding/json"
	"sync"
	"time"
)

// sample is one finished query.
type sample struct {
	share   *Share
	outcome Outcome
	// took is from the intended arrival to the outcome.
	took time.Duration
}

// Progress is told about the run as it goes.
type Progress func(elapsed, total time.Duration, sent int)

// progressInterval is how often Progress is called.
const progressInterval = 200 * time.Millisecond

// Generate runs the run against asker and reports it. Ending ctx stops arrivals;
// the report then covers what was sent. progress may be nil.
func Generate(ctx context.Context, run *Run, asker Asker, progress Progress) (*Report, error) {
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
	g := &generator{run: run, asker: asker, samples: samples, permits: make(chan struct{}, run.MaxInflight)}
	started := time.Now()
	g.loop(ctx, started, progress)
	arrivalsTook := time.Since(started)
	g.inflight.Wait()
	close(samples)
	recording.Wait()
	return recorder.report(started, arrivalsTook, g), nil
}

// generator sends a run's queries.
type generator struct {
	run      *Run
	asker    Asker
	samples  chan<- sample
	permits  chan struct{}
	inflight sync.WaitGroup
	offered  int
	sent     int
	notSent  int
	// total is sent with the warm-up.
	total int
	// latest is the longest time that a query was sent after its arrival.
	latest time.Duration
}

// loop sends queries until the run is over.
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
			progress(elapsed, total, g.total)
		}
		g.send(ctx, number, arrivals.pick(), started.Add(at), at >= time.Duration(g.run.Warmup))
	}
}

// send starts one query, unless too many are in flight.
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
	g.total++
	if counted {
		g.sent++
		g.latest = max(g.latest, time.Since(intended))
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
		outcome := g.asker.Ask(ctx, q)
		<-g.permits
		if counted {
			g.samples <- sample{share: share, outcome: outcome, took: time.Since(intended)}
		}
	})
}
