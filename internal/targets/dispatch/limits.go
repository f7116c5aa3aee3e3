package dispatch

import "time"

// Limits configure how a Local uses each target. Zero values mean the defaults.
type Limits struct {
	// DialTimeout bounds opening a connection for exchanges.
	DialTimeout time.Duration
	// ProbeTimeout bounds one probe or cancellation, and separately the dial for it.
	ProbeTimeout time.Duration
	// ProgressInterval is the interval at which the target is asked whether it still
	// works on a running exchange.
	ProgressInterval time.Duration
	// IdleProbe is the interval at which an idle connection is probed.
	IdleProbe time.Duration
	// MaxIdle is the time after its last exchange at which a connection is replaced.
	MaxIdle time.Duration
	// BackoffBase and BackoffMax bound the pause between attempts to connect.
	BackoffBase, BackoffMax time.Duration
	// QueuePerSlot bounds the waiting sub-requests per slot.
	QueuePerSlot int
	// MaxBatch bounds the sub-requests of one exchange.
	MaxBatch int
	// BatchTime bounds the expected total time of a batch of several sub-requests.
	BatchTime time.Duration
	// Grace is how long a pool whose target moved to another host keeps its
	// connections after its last exchange.
	Grace time.Duration
	// SlowStart is the time in which the slots used of a recovered target increase
	// from one to all.
	SlowStart time.Duration
	// ReconcileInterval is the interval at which the pools are compared with the view.
	ReconcileInterval time.Duration
}

const (
	defaultDialTimeout       = 500 * time.Millisecond
	defaultProbeTimeout      = 250 * time.Millisecond
	defaultProgressInterval  = 250 * time.Millisecond
	defaultIdleProbe         = time.Second
	defaultMaxIdle           = 30 * time.Second
	defaultBackoffBase       = 20 * time.Millisecond
	defaultBackoffMax        = 2 * time.Second
	defaultQueuePerSlot      = 64
	defaultMaxBatch          = 32
	defaultBatchTime         = 2 * time.Millisecond
	defaultGrace             = 2 * time.Second
	defaultSlowStart         = 5 * time.Second
	defaultReconcileInterval = 200 * time.Millisecond

	// connectionDivisor is the number of hosts that may use a target at once, for
	// example while it changes owners. One host may open at most the target's
	// connection limit divided by it.
	connectionDivisor = 4
	// ewmaDivisor is the inverse of the weight of a new sample in timePerItem.
	ewmaDivisor = 8
	// deadlineSlack is how long after its deadline an exchange is ended. The target
	// receives the deadline and normally answers by then.
	deadlineSlack = 50 * time.Millisecond
	// pausedTicks is the wall-clock time between two reconcile ticks, in multiples of
	// ReconcileInterval, above which the process is considered to have been paused.
	pausedTicks = 10
)

// withDefaults returns l with the defaults in place of zero values.
func (l Limits) withDefaults() Limits {
	setDefaultDuration(&l.DialTimeout, defaultDialTimeout)
	setDefaultDuration(&l.ProbeTimeout, defaultProbeTimeout)
	setDefaultDuration(&l.ProgressInterval, defaultProgressInterval)
	setDefaultDuration(&l.IdleProbe, defaultIdleProbe)
	setDefaultDuration(&l.MaxIdle, defaultMaxIdle)
	setDefaultDuration(&l.BackoffBase, defaultBackoffBase)
	setDefaultDuration(&l.BackoffMax, defaultBackoffMax)
	setDefaultDuration(&l.BatchTime, defaultBatchTime)
	setDefaultDuration(&l.Grace, defaultGrace)
	setDefaultDuration(&l.SlowStart, defaultSlowStart)
	setDefaultDuration(&l.ReconcileInterval, defaultReconcileInterval)
	if l.QueuePerSlot <= 0 {
		l.QueuePerSlot = defaultQueuePerSlot
	}
	if l.MaxBatch <= 0 {
		l.MaxBatch = defaultMaxBatch
	}
	return l
}

func setDefaultDuration(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}
