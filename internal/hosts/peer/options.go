package peer

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

// Defaults of Options.
const (
	DefaultDialTimeout     = time.Second
	DefaultWriteTimeout    = 5 * time.Second
	DefaultProgressTimeout = 2 * time.Second
	DefaultIdlePing        = 10 * time.Second
	DefaultMaxIdle         = time.Minute
	DefaultBackoffMin      = 50 * time.Millisecond
	DefaultBackoffMax      = 2 * time.Second
	DefaultQueueMessages   = 16384
	DefaultQueueBytes      = 128 << 20
	DefaultMaxFrameBytes   = 68 << 20
	DefaultFlushBytes      = 128 << 10
	// MaxKeys is the largest number of keys that are valid at once.
	MaxKeys = 2
	// MinKeyBytes is the shortest key accepted.
	MinKeyBytes = 16
)

// Options configures a Mesh. Zero values of optional fields mean the defaults.
type Options struct {
	// Self is the id of this host.
	Self model.HostID
	// ListenAddr is the address that peers dial.
	ListenAddr string
	// Keys authenticate peers, the newest first. Up to two are valid at once, so
	// that keys can be rotated without hosts refusing each other in between.
	Keys [][]byte
	// Lookup returns the peer address of a host, and false for an unknown host.
	// It must not block.
	Lookup func(model.HostID) (string, bool)
	Scope  metrics.Scope
	Log    logrus.FieldLogger

	// DialTimeout bounds connecting and the handshake.
	DialTimeout time.Duration
	// WriteTimeout bounds writing one frame, and how long written bytes may stay
	// unacknowledged.
	WriteTimeout time.Duration
	// ProgressTimeout is how long after a ping a link may stay silent before it
	// is closed. With calls in flight, a ping is sent after a fraction of this
	// time without a frame.
	ProgressTimeout time.Duration
	// IdlePing is the silence after which a link without calls is pinged.
	IdlePing time.Duration
	// MaxIdle is the time without use after which a link without calls is closed.
	MaxIdle time.Duration
	// BackoffMin and BackoffMax bound the pause before a peer is dialed again.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// QueueMessages bounds the messages queued for one link, and the calls in
	// flight on it.
	QueueMessages int
	// QueueBytes bounds the payloads queued for one link. A single larger message
	// is accepted if the queue is empty.
	QueueBytes int
	// MaxFrameBytes bounds one frame.
	MaxFrameBytes int
}

func (o *Options) check() error {
	if o.Self == "" {
		return eris.New("peer: self: must not be empty")
	}
	if len(o.Keys) == 0 || len(o.Keys) > MaxKeys {
		return eris.Errorf("peer: keys: have %d, allowed are 1 to %d", len(o.Keys), MaxKeys)
	}
	for i, key := range o.Keys {
		if len(key) < MinKeyBytes {
			return eris.Errorf("peer: keys[%d]: has %d bytes, allowed are %d or more", i, len(key), MinKeyBytes)
		}
	}
	if o.Lookup == nil {
		return eris.New("peer: lookup: must not be nil")
	}
	return nil
}

func (o *Options) setDefaults() {
	setDuration(&o.DialTimeout, DefaultDialTimeout)
	setDuration(&o.WriteTimeout, DefaultWriteTimeout)
	setDuration(&o.ProgressTimeout, DefaultProgressTimeout)
	setDuration(&o.IdlePing, DefaultIdlePing)
	setDuration(&o.MaxIdle, DefaultMaxIdle)
	setDuration(&o.BackoffMin, DefaultBackoffMin)
	setDuration(&o.BackoffMax, DefaultBackoffMax)
	if o.QueueMessages == 0 {
		o.QueueMessages = DefaultQueueMessages
	}
	if o.QueueBytes == 0 {
		o.QueueBytes = DefaultQueueBytes
	}
	if o.MaxFrameBytes == 0 {
		o.MaxFrameBytes = DefaultMaxFrameBytes
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	if o.Scope == nil {
		o.Scope = noopScope()
	}
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
