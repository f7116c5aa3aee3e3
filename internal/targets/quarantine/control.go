package quarantine

import (
	"maps"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

// control is the state of the control goroutine and is accessed only by it.
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

// tick removes expired records and permits and starts a sync when it is due.
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
		c.s.syncWithRandomHost(c.table.digest())
	}
}

// publish makes a copy of the table available to the query path.
func (c *control) publish() {
	published := records(maps.Clone(c.table.records))
	c.s.published.Store(&published)
	c.s.counter.records.Update(float64(len(published)))
}

// mergeAndSpread merges records and sends those that changed to other hosts. done
// runs once these have answered, after spreadTimeout, or at once if nothing changed.
func (c *control) mergeAndSpread(incoming []*Record, done func()) {
	var changed []*Record
	for _, r := range incoming {
		if c.table.merge(r, c.nowMS()) {
			changed = append(changed, c.table.records[r.Fingerprint])
		}
	}
	if len(changed) == 0 {
		done()
		return
	}
	c.publish()
	c.s.spread(changed, done)
}

// recordCrash records one crash. Reports for the same request and target within
// sameCrashMS refer to the same crash, unless a success or a release came between.
func (c *control) recordCrash(req *subquery.Request, done func()) {
	now := c.nowMS()
	fingerprint := FingerprintOf(req.Caller, req.Workload, req.Body)
	if known := c.table.records[fingerprint]; known != nil {
		for _, n := range known.activeNotes() {
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
	c.mergeAndSpread([]*Record{{Fingerprint: fingerprint, Caller: req.Caller, Workload: req.Workload, Notes: []Note{note}}}, done)
}

// recordCrash passes a crash to the control goroutine. done runs once other hosts
// have confirmed the note, after spreadTimeout, or at once if the queue is full.
func (s *Service) recordCrash(req *subquery.Request, done func()) {
	if !s.submit(func(c *control) { c.recordCrash(req, done) }) {
		done()
	}
}

// handle passes a message to the control goroutine.
func (s *Service) handle(in *peer.Inbound) {
	var m message
	if err := decode(in.Payload, &m); err != nil {
		s.opts.Log.WithError(err).WithField("from", in.From).Warn("dropped a malformed quarantine note")
		return
	}
	s.submit(func(c *control) { c.answer(in, &m) })
}

// answer processes a message and replies if the sender expects it.
func (c *control) answer(in *peer.Inbound, m *message) {
	var a answer
	switch m.Operation {
	case operationNotes:
		c.mergeAndSpread(readable(m.Records), func() {})
	case operationSync:
		if m.Digest != c.table.digest() {
			for _, r := range c.table.records {
				a.Records = append(a.Records, r)
			}
		}
	case operationPermit:
		a.Granted = c.grant(in.From, m)
	case operationReleasePermit:
		c.releasePermit(in.From, m)
	}
	if in.Reply != nil {
		in.Reply(&a)
	}
}
