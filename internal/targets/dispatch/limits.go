package dispatch

import "time"

// Limits bound what a Local does for each target. Zero values mean the
// defaults.
type Limits struct {
	// DialTimeout bounds opening one connection.
	DialTimeout time.Duration
	// ProbeTimeout bounds one probe or cancellation.
	ProbeTimeout time.Duration
	// Progress is how long an exchange runs before the target is asked whether
	// it still works on it.
	Progress time.Duration
	// IdleProbe is how long a connection is idle before it is probed.
	IdleProbe time.Duration
	// MaxIdle is how long a connection is idle before it is replaced.
	MaxIdle time.Duration
	// BackoffBase and BackoffMax bound the pause between attempts to connect.
	BackoffBase, BackoffMax time.Duration
	// QueuePerSlot bounds the sub-requests waiting, for each slot.
	QueuePerSlot int
	// MaxBatch bounds the sub-requests of one exchange.
	MaxBatch int
	// BatchTime bounds the expected time that a batch adds to its first member.
	BatchTime time.Duration
	// Grace is how long a pool whose target moved to another host keeps its
	// connections after its last exchange.
	Grace time.Duration
	// SlowStart is how long a target that came back gets fewer slots.
	SlowStart time.Duration
	// Reconcile is the time between comparisons of the pools with the view.
	Reconcile time.Duration
}

const (
	defaultDialTimeout  = 500 * time.Millisecond
	defaultProbeTimeout = 250 * time.Millisecond
	defaultProgress     = 250 * time.Millisecond
	defaultIdleProbe    = time.Second
	defaultMaxIdle      = 30 * time.Second
	defaultBackoffBase  = 20 * time.Millisecond
	defaultBackoffMax   = 2 * time.Second
	defaultQueuePerSlot = 64
	defaultMaxBatch     = 32
	defaultBatchTime    = 2 * time.Millisecond
	defaultGrace        = 2 * time.Second
	defaultSlowStart    = 5 * time.Second
	defaultReconcile    = 200 * time.Millisecond

	// connectionShare is the share of a target's connections that one host may
	// open, as a divisor.
	connectionShare = 4
	// ewmaDivisor is the inverse of the weight of a new sample.
	ewmaDivisor = 8
	// deadlineSlack is how long past its deadline an exchange may take before its
	// connection is closed: the target is told the deadline and answers by it.
	deadlineSlack = 50 * time.Millisecond
	// pausedAfter is a gap of the reconcile ticker, in its periods, that means
	// that the process was paused.
	pausedAfter = 10
)

// withDefaults returns l with zero values replaced.
func (l Limits) withDefaults() Limits {
	orDuration(&l.DialTimeout, defaultDialTimeout)
	orDuration(&l.ProbeTimeout, defaultProbeTimeout)
	orDuration(&l.Progress, defaultProgress)
	orDuration(&l.IdleProbe, defaultIdleProbe)
	orDuration(&l.MaxIdle, defaultMaxIdle)
	orDuration(&l.BackoffBase, defaultBackoffBase)
	orDuration(&l.BackoffMax, defaultBackoffMax)
	orDuration(&l.BatchTime, defaultBatchTime)
	orDuration(&l.Grace, defaultGrace)
	orDuration(&l.SlowStart, defaultSlowStart)
	orDuration(&l.Reconcile, defaultReconcile)
	if l.QueuePerSlot <= 0 {
		l.QueuePerSlot = defaultQueuePerSlot
	}
	if l.MaxBatch <= 0 {
		l.MaxBatch = defaultMaxBatch
	}
	return l
}

func orDuration(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}
