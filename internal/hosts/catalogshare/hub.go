package catalogshare

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
	"github.com/swiftvane/swiftvane/internal/decision/gathering"
	"github.com/swiftvane/swiftvane/internal/decision/targethealth"
	"github.com/swiftvane/swiftvane/internal/decision/targetlimit"
	"github.com/swiftvane/swiftvane/internal/decision/warmup"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/hosts/catalogsync"
)

// outboxCapacity is the number of messages queued for one link. A follower that
// falls further behind is disconnected.
const outboxCapacity = 64

// Hub serves a host's entries to the hosts that follow it. It is safe for
// concurrent use.
type Hub struct {
	log logrus.FieldLogger
	// self is this host as a candidate for gatherers.
	self     gathering.Member
	upgrader websocket.FastHTTPUpgrader

	mu       sync.Mutex
	entries  map[string]entry
	position catalog.Position
	// withheld has the entries of an older copy of the store that are not passed on
	// before the given times.
	withheld map[string]time.Time
	// config is the newest configuration seen; its Config is nil before the first.
	config    catalogsync.Change
	asOf      time.Time
	followers map[*follower]bool
	// readerCounts has the latest counts of each other reader, by its address.
	readerCounts map[string]hostCount
	guard        *crashguard.Guard
	// health aggregates the samples of this host and its followers. onUnhealthy
	// is called with the targets that this aggregate, or that of the reader that
	// this host follows, reports as unhealthy.
	health      targethealth.Aggregator
	onUnhealthy func(targets []string)
	// leaving has the targets reported as leaving, with the time of the first report.
	// onLeaving is called with each new one.
	leaving   map[TargetStart]time.Time
	onLeaving func(t TargetStart, since time.Time)
	// disputed has what a restored store says differently, until disputedUntil.
	disputed      []entry
	disputedUntil time.Time
	// gatherers is the current selection. The sent fields are what the last heartbeat
	// with them had.
	gatherers     []gathering.Member
	sentGatherers []gathering.Member
	sentMembers   []gathering.Member
	sentHelpers   []gathering.Member
	// upstream has the latest counts of the reader that this host follows.
	upstream upstreamCount
	// settled is set while this host considers its own count settled.
	settled bool
	// issuing issues lists of stewards. lease is this host's right to use one, which requests
	// read without the lock.
	issuing issuing
	lease   atomic.Pointer[warmup.Lease]
	pauses  pauseRelay
	limits  limitRelay
}

// hostCount is what another reader last sent about itself and its followers.
type hostCount struct {
	hosts   int
	domains map[string]int
	members []gathering.Member
	// at is the time of receipt.
	at time.Time
}

// upstreamCount is what the reader that a host follows last sent about the whole fleet,
// and whether that reader considers it settled.
type upstreamCount struct {
	hosts   int
	domains map[string]int
	settled bool
	// helpers are the hosts that it last named as such.
	helpers []gathering.Member
	// at is the time of receipt.
	at time.Time
}

// countTTL is how long a reader's count is used after its receipt.
const countTTL = 10 * time.Second

// follower is one incoming link.
type follower struct {
	out    chan []byte
	domain string
	// member is the follower as a candidate for gatherers; its Addr may be empty.
	member gathering.Member
	// observe is set for links of other readers, which get counts and crash
	// reports but no entries and aren't counted as hosts.
	observe bool
	// limitDemand is the follower's last report, as a reader that of its followers too.
	limitDemand targetlimit.Report
	// informed is set once the follower has got the table of pauses as a gatherer.
	informed bool
}

// NewHub returns a hub without entries for the host self. Crash reports are added to
// guard.
func NewHub(self gathering.Member, guard *crashguard.Guard, log logrus.FieldLogger) *Hub {
	return &Hub{
		log: log, self: self, guard: guard, entries: map[string]entry{}, followers: map[*follower]bool{}, readerCounts: map[string]hostCount{},
		leaving: map[TargetStart]time.Time{}, withheld: map[string]time.Time{}, limits: newLimitRelay(),
		upgrader: websocket.FastHTTPUpgrader{CheckOrigin: func(*fasthttp.RequestCtx) bool { return true }},
	}
}

// OnUnhealthyTargets sets the function that is called with targets that many
// hosts found slow or failing. It must be set before the hub runs; the function
// must not block.
func (h *Hub) OnUnhealthyTargets(f func(targets []string)) { h.onUnhealthy = f }

// Run sends heartbeats on all links until ctx ends.
func (h *Hub) Run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			unhealthy, limitTotals := h.sendHeartbeat()
			h.notifyUnhealthy(unhealthy)
			h.notifyLimitTotals(limitTotals)
		}
	}
}

// sendHeartbeat sends all followers a message with the unhealthy targets and what else is sent
// periodically. It returns the unhealthy targets and the totals of the fleet's demand for
// services with limited targets.
func (h *Hub) sendHeartbeat() (unhealthy []string, limitTotals []targetlimit.ServiceDemand) {
	h.mu.Lock()
	defer h.mu.Unlock()
	unhealthy = h.health.Unhealthy(time.Now())
	if len(h.followers) > 0 {
		m := h.newMessage()
		m.Unhealthy = unhealthy
		h.addMembers(m, false)
		h.broadcast(m)
	}
	h.sendPauses(time.Now())
	return unhealthy, h.sendLimitDemand(time.Now())
}

// notifyUnhealthy calls onUnhealthy if there are unhealthy targets.
func (h *Hub) notifyUnhealthy(targets []string) {
	if len(targets) > 0 && h.onUnhealthy != nil {
		h.onUnhealthy(targets)
	}
}

// addSamples adds the health samples of one host to the aggregate.
func (h *Hub) addSamples(samples []targethealth.Sample) {
	if len(samples) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.health.Add(time.Now(), samples)
}

// newMessage returns a message with the current counts and no entries. The caller
// holds the lock.
func (h *Hub) newMessage() *message {
	return &message{
		Era: h.position.Era, Revision: h.position.Revision, AgeMS: time.Since(h.asOf).Milliseconds(), Settled: h.settled,
		CrashMemoryMS: h.guard.Memory(time.Now()).Milliseconds(),
		OwnHosts:      h.ownHosts(), OwnDomains: h.ownDomains(), Hosts: h.hosts(), Domains: h.domains(),
	}
}

// fullMessage returns a message with all entries. The caller holds the lock.
func (h *Hub) fullMessage() *message {
	m := h.newMessage()
	m.Full = true
	now := time.Now()
	for key, e := range h.entries {
		if h.passesOn(key, now) {
			m.Entries = append(m.Entries, e)
		}
	}
	h.addDisputed(m)
	return m
}

// remove ends a link; its writer stops once the queue is empty. The caller holds
// the lock.
func (h *Hub) remove(f *follower) {
	if h.followers[f] {
		delete(h.followers, f)
		close(f.out)
	}
}
