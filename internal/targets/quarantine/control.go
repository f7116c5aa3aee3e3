package quarantine

import (
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

// control is the state of the control goroutine. Only that one uses it.
type control struct {
	s       *Service
	table   *table
	seq     uint64
	permits map[permitKey]permit
	syncAt  time.Time
}

func newControl(s *Service) *control {
	return &control{s: s, table: newTable(MaxRecords), permits: make(map[permitKey]permit)}
}

func (c *control) nowMS() int64 { return c.s.opts.Clock().UnixMilli() }

func (c *control) tick() {
	now := c.s.opts.Clock()
	before := len(c.table.records)
	c.table.expire(now.UnixMilli())
	if len(c.table.records) != before {
		c.publish()
	}
	maps.DeleteFunc(c.permits, func(_ permitKey, p permit) bool { return !now.Before(p.until) })
	if now.Sub(c.syncAt) >= syncInterval {
		c.syncAt = now
		c.s.syncWithOne(c.table.digest())
	}
}

func (c *control) publish() {
	published := records(maps.Clone(c.table.records))
	c.s.published.Store(&published)
	c.s.counter.records.Update(float64(len(published)))
}

// learn takes in records and passes what was new on to other hosts. done runs
// once those have it, or after spreadTimeout.
func (c *control) learn(learned []*Record, done func()) {
	var fresh []*Record
	for _, r := range learned {
		if r != nil && c.table.merge(r, c.nowMS()) {
			fresh = append(fresh, c.table.records[r.Fingerprint])
		}
	}
	if len(fresh) == 0 {
		done()
		return
	}
	c.publish()
	c.s.spread(fresh, done)
}

// noteCrash takes in one crash. Reports of the same request and target within
// sameCrashMS are about one crash, unless a success came between.
func (c *control) noteCrash(req *subquery.Request, done func()) {
	now := c.nowMS()
	fingerprint := FingerprintOf(req.Caller, req.Workload, req.Body)
	if known := c.table.records[fingerprint]; known != nil {
		for _, n := range known.counted() {
			if n.Target == req.Target && now-n.AtMS < sameCrashMS {
				c.s.spread([]*Record{known}, done)
				return
			}
		}
	}
	c.seq++
	c.s.counter.notes.Inc(1)
	note := Note{
		ID:      NoteID{Host: c.s.opts.Self.ID, Incarnation: c.s.opts.Incarnation, Seq: c.seq},
		Service: req.Service,
		Target:  req.Target,
		Shard:   req.Shard,
		AtMS:    now,
	}
	c.s.opts.Log.WithFields(map[string]any{
		"fingerprint": fingerprint.String(), "caller": req.Caller, "service": req.Service, "target": req.Target, "request_id": req.RequestID,
	}).Warn("a target died while it ran this request")
	c.learn([]*Record{{Fingerprint: fingerprint, Caller: req.Caller, Workload: req.Workload, Notes: []Note{note}}}, done)
}

// noteCrash hands a crash to the control goroutine. done runs once other hosts
// know of it, or after spreadTimeout.
func (s *Service) noteCrash(req *subquery.Request, done func()) {
	if !s.submit(func(c *control) { c.noteCrash(req, done) }) {
		done()
	}
}

// handle passes a message to the control goroutine.
func (s *Service) handle(in *peer.Inbound) {
	var m message
	if err := cbor.Unmarshal(in.Payload, &m); err != nil {
		s.opts.Log.WithError(err).WithField("from", in.From).Warn("dropped a malformed quarantine note")
		return
	}
	s.submit(func(c *control) { c.answer(in, &m) })
}

func (c *control) answer(in *peer.Inbound, m *message) {
	var a answer
	switch m.Operation {
	case operationNotes:
		c.learn(m.Records, func() {})
	case operationSync:
		if m.Digest != c.table.digest() {
			for _, r := range c.table.records {
				a.Records = append(a.Records, r)
			}
		}
	case operationPermit:
		a.Granted = c.grant(in.From, m)
	case operationDone:
		c.giveBack(in.From, m)
	}
	if in.Reply != nil {
		in.Reply(&a)
	}
}
