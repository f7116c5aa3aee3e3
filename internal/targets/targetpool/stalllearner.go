package targetpool

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/decision/stall"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/support/logging"
)

const (
	// learntInterval is the time between two counts of the targets with a prediction.
	learntInterval = 5 * time.Second
	// pauseLinesPerSecond bounds the log lines about periods of each kind.
	pauseLinesPerSecond = 2
)

// stallLearner learns when the targets of all pools pause. It is safe for concurrent use; its
// lock is taken while a pool's or the directory's is held, never the other way round.
type stallLearner struct {
	log    logrus.FieldLogger
	budget *logging.Budget
	learnt tally.Gauge
	// verdicts has the counters of predicted pauses that occurred or were missed.
	verdicts map[stall.Verdict]tally.Counter

	mu      sync.Mutex
	learner *stall.Learner
	config  *catalog.Config
	// index has the index of each shard, by which targets share a period.
	index map[catalog.ServiceName]catalog.ServiceName
	// observed has the ends that wait to be reported to other hosts, if sharing is set.
	observed []observedEnd
	sharing  bool
	// counted is when the targets with a prediction were last counted.
	counted time.Time
}

func newStallLearner(opts *Options) *stallLearner {
	scope := scopeOf(opts)
	return &stallLearner{
		log: opts.Log, budget: logging.NewBudget(pauseLinesPerSecond), learnt: scope.Gauge("pauses_learnt"),
		verdicts: map[stall.Verdict]tally.Counter{stall.Occurred: scope.Counter("pauses_foreseen"), stall.Missed: scope.Counter("pauses_missed")},
		learner:  stall.NewLearner(),
	}
}

// setConfig takes the indexes from a configuration, which may be nil.
func (s *stallLearner) setConfig(config *catalog.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if config == s.config {
		return
	}
	s.config, s.index = config, indexOf(config)
}

// indexOf returns the index of each shard of a configuration, named by its first shard.
// For a shard of several indexes it is the first by name.
func indexOf(config *catalog.Config) map[catalog.ServiceName]catalog.ServiceName {
	index := map[catalog.ServiceName]catalog.ServiceName{}
	if config == nil {
		return index
	}
	for _, r := range config.Routes {
		for _, shard := range r.Shards {
			if known, ok := index[shard]; !ok || r.Shards[0] < known {
				index[shard] = r.Shards[0]
			}
		}
	}
	return index
}

// family returns the name under which the targets of a service are learnt. The caller
// holds the lock.
func (s *stallLearner) family(service catalog.ServiceName) string {
	if index, ok := s.index[service]; ok {
		return string(index)
	}
	return string(service)
}

// add adds the end of a pause.
func (s *stallLearner) add(t *catalog.Target, end stall.End, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learner.Add(s.family(t.Service), string(t.ID), end, now)
	s.keepObserved(t, end)
}

// judge records whether a predicted pause occurred.
func (s *stallLearner) judge(id catalog.TargetID, verdict stall.Verdict) {
	s.verdicts[verdict].Inc(1)
	if verdict != stall.Missed {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learner.Miss(string(id))
}

// forget discards what is known of a target that has restarted or gone.
func (s *stallLearner) forget(id catalog.TargetID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learner.Forget(string(id))
}

// forgetPhases discards the phases of all targets.
func (s *stallLearner) forgetPhases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learner.ForgetPhases()
	s.observed = nil
	s.log.Info("phases of targets' pauses discarded: the clock has stepped")
}

// learn seeks periods and returns the predictions that have changed, by target.
func (s *stallLearner) learn(now time.Time) map[string]stall.Pattern {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.learner.Learn(now) {
		s.logChange(c, now)
	}
	if now.Sub(s.counted) >= learntInterval {
		s.counted = now
		s.learnt.Update(float64(s.learner.Learnt(now)))
	}
	return s.learner.TakeChanged()
}

func (s *stallLearner) logChange(c stall.Change, now time.Time) {
	message := "period of targets' pauses learnt"
	if c.Period <= 0 {
		message = "period of targets' pauses dropped"
	}
	if ok, omitted := s.budget.Take(message, now); ok {
		s.log.WithFields(logrus.Fields{
			"service": c.Family, "period_ms": c.Period.Milliseconds(), "length_ms": c.Length.Milliseconds(), "lines_left_out": omitted,
		}).Info(message)
	}
}

// LearnStalls learns from the pauses of targets seen so far and applies the predictions.
// It is called about every second.
func (d *Directory) LearnStalls(now time.Time) {
	patterns := d.stalls.learn(now)
	if len(patterns) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, pattern := range patterns {
		if pool, ok := d.pools[catalog.TargetID(id)]; ok {
			pool.setPattern(pattern)
		}
	}
}

// ForgetStalls discards when targets pause, which is necessary after the monotonic clock
// has not run for a while.
func (d *Directory) ForgetStalls() { d.stalls.forgetPhases() }
