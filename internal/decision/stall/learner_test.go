package stall

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const work = 20 * time.Millisecond

var epoch = time.Unix(1_700_000_000, 0)

// server is a target that pauses periodically, with the arithmetic of its replies: work
// that a pause meets ends later by what is left of the pause.
type server struct {
	name   string
	phase  time.Duration
	period time.Duration
	length time.Duration
	speed  float64
	// lost is the share of replies that are late for another reason.
	lost float64
}

func (s server) reply(sent time.Time, random *rand.Rand) Reply {
	took := time.Duration(float64(work) * s.speed * (0.8 + 0.4*random.Float64()))
	if s.slow(sent) {
		took = took * 5 / 2
	}
	start := sent
	if s.period > 0 {
		into := (sent.Sub(epoch) - s.phase) % s.period
		switch {
		case into < s.length:
			start = sent.Add(s.length - into)
		case into+took > s.period:
			took += s.length
		}
	}
	if random.Float64() < s.lost {
		took += time.Duration(random.Float64() * float64(300*time.Millisecond))
	}
	return Reply{Sent: sent, Replied: start.Add(took), Usual: work}
}

// slow reports whether the target is slow for 600 ms, at some time in each 4 s.
func (s server) slow(at time.Time) bool {
	const every, lasts = 4 * time.Second, 600 * time.Millisecond
	since := at.Sub(epoch) + s.phase
	from := (since / every * 7919 * time.Millisecond) % (every - lasts)
	into := since % every
	return into >= from && into < from+lasts
}

// servers returns targets of one index with phases and speeds of their own.
func servers(n int, period, length time.Duration, lost float64, random *rand.Rand) []server {
	list := make([]server, n)
	for i := range list {
		list[i] = server{
			name: fmt.Sprintf("t-%d", i), phase: time.Duration(random.Float64() * float64(period)), period: period, length: length,
			speed: []float64{0.8, 1, 1.3}[i%3], lost: lost,
		}
	}
	return list
}

// watch plays replies of the targets, each about every interval, into a learner and
// returns the changes.
func watch(l *Learner, list []server, from, lasts, interval time.Duration, random *rand.Rand) []Change {
	var changes []Change
	detectors, judged := make([]Detector, len(list)), make([]time.Time, len(list))
	next := make([]time.Time, len(list))
	for now := epoch.Add(from); now.Before(epoch.Add(from + lasts)); now = now.Add(100 * time.Millisecond) {
		for i, s := range list {
			for next[i].Before(now) {
				sent := later(next[i], now).Add(time.Duration(random.Float64() * 2 * float64(interval)))
				r := s.reply(sent, random)
				p := l.Pattern(s.name)
				if verdict, end := p.Judge(r); verdict == Missed && end.Sub(judged[i]) > sameEnd {
					judged[i] = end
					l.Miss(s.name)
				}
				if end, ok := detectors[i].Observe(r); ok {
					l.Add("index", s.name, end, sent)
				}
				next[i] = r.Replied
			}
		}
		changes = append(changes, l.Learn(now)...)
	}
	return changes
}

// TestPeriodAndPhasesAreLearntWhateverThePeriod guards against a period that is only found
// if it is one of a few expected ones, and against one that is mistaken for a part or a
// multiple of it.
func TestPeriodAndPhasesAreLearntWhateverThePeriod(t *testing.T) {
	for seed, c := range []struct{ period, length time.Duration }{
		{1013 * time.Millisecond, 90 * time.Millisecond}, {2400 * time.Millisecond, 100 * time.Millisecond}, {3 * time.Second, 120 * time.Millisecond},
		{3600 * time.Millisecond, 150 * time.Millisecond}, {4500 * time.Millisecond, 200 * time.Millisecond}, {9871 * time.Millisecond, 250 * time.Millisecond},
	} {
		t.Run(c.period.String(), func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(seed), 1))
			list := servers(60, c.period, c.length, 0.02, random)
			l := NewLearner()
			changes := watch(l, list, 0, 150*time.Second, 150*time.Millisecond, random)
			require.Len(t, changes, 1)
			now := epoch.Add(150 * time.Second)
			require.InDelta(t, c.period.Seconds(), l.families["index"].period.Seconds(), 0.0015)
			require.InDelta(t, c.length.Seconds(), l.families["index"].length.Seconds(), 0.03)
			right := 0
			for _, s := range list {
				p := l.Pattern(s.name)
				if !p.inForce(now) {
					continue
				}
				_, off := cyclesOf(p.nextEnd(now).Sub(epoch)-s.phase-s.length, s.period)
				if off.Abs() <= tolerance {
					right++
				}
			}
			require.GreaterOrEqual(t, right, 50, "of %d predictions", l.Learnt(now))
			require.LessOrEqual(t, l.Learnt(now)-right, 2, "wrong predictions")
		})
	}
}

// TestLateRepliesWithoutPeriodTeachNothing guards against a prediction made from queues,
// losses and a slow network, which delay replies at random.
func TestLateRepliesWithoutPeriodTeachNothing(t *testing.T) {
	for seed := range uint64(12) {
		random := rand.New(rand.NewPCG(seed, 2))
		l := NewLearner()
		require.Empty(t, watch(l, servers(40, 0, 0, 0.06, random), 0, 200*time.Second, 100*time.Millisecond, random))
		require.NotEmpty(t, l.families["index"].spans, "there were ends to learn from")
	}
}

// TestPeriodIsDroppedOncePausesStop guards against targets that are avoided for long
// because of pauses that no longer occur.
func TestPeriodIsDroppedOncePausesStop(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	list := servers(40, 3*time.Second, 120*time.Millisecond, 0, random)
	l := NewLearner()
	watch(l, list, 0, 90*time.Second, 100*time.Millisecond, random)
	now := epoch.Add(90 * time.Second)
	require.Greater(t, l.Learnt(now), 30)
	for _, s := range list {
		for range maxMisses {
			require.Positive(t, l.Pattern(s.name).Period)
			l.Miss(s.name)
		}
		require.Zero(t, l.Pattern(s.name).Period, "three misses end a prediction")
		if len(l.Learn(now)) > 0 {
			return
		}
	}
	t.Fatal("the period is kept in spite of misses")
}

// TestChangedPeriodIsLearntAnew guards against a period that stays in force after a release
// has changed it.
func TestChangedPeriodIsLearntAnew(t *testing.T) {
	random := rand.New(rand.NewPCG(8, 8))
	l := NewLearner()
	require.Len(t, watch(l, servers(40, 3*time.Second, 120*time.Millisecond, 0.01, random), 0, 60*time.Second, 100*time.Millisecond, random), 1)
	changes := watch(l, servers(40, 3600*time.Millisecond, 150*time.Millisecond, 0.01, random), 60*time.Second, 90*time.Second, 100*time.Millisecond, random)
	require.Len(t, changes, 2)
	require.Zero(t, changes[0].Period)
	require.InDelta(t, 3.6, l.families["index"].period.Seconds(), 0.0015)
}

// TestUnconfirmedPredictionExpires guards against a prediction that is never tested,
// because requests avoid the target whenever it applies.
func TestUnconfirmedPredictionExpires(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 4))
	list := servers(40, 3*time.Second, 120*time.Millisecond, 0, random)
	l := NewLearner()
	watch(l, list, 0, 90*time.Second, 100*time.Millisecond, random)
	now := epoch.Add(90 * time.Second)
	require.Positive(t, l.Learnt(now))
	require.Zero(t, l.Learnt(now.Add(sureExpiry)))
	require.Empty(t, l.Learn(now.Add(sureExpiry)))
	changes := l.Learn(now.Add(keepUnconfirmed))
	require.Equal(t, []Change{{Family: "index"}}, changes)
}

// TestRestartedTargetAndStoppedClockLosePhases guards against predictions with the phase of
// an earlier process, or of a clock that did not run while the host was frozen.
func TestRestartedTargetAndStoppedClockLosePhases(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	list := servers(40, 3*time.Second, 120*time.Millisecond, 0, random)
	l := NewLearner()
	watch(l, list, 0, 90*time.Second, 100*time.Millisecond, random)
	now := epoch.Add(90 * time.Second)
	l.TakeChanged()
	l.Forget("t-0")
	require.Equal(t, map[string]Pattern{"t-0": {}}, l.TakeChanged())
	l.ForgetPhases()
	require.Zero(t, l.Learnt(now))
	require.NotEmpty(t, l.TakeChanged())
	require.Empty(t, l.Learn(now), "the period is kept")
	watch(l, list, 90*time.Second, 40*time.Second, 100*time.Millisecond, random)
	require.Greater(t, l.Learnt(now.Add(40*time.Second)), 30, "and the phases are learnt again")
}
