package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

var errPlatformDown = errors.New("the platform is down")

// fakePlatform is an in-memory platform with watches, to which tests publish.
type fakePlatform struct {
	mu    sync.Mutex
	doc   *config.Document
	list  *model.HostList
	down  bool
	calls int
	// changed is closed and replaced on each change.
	changed chan struct{}
}

func newFakePlatform() *fakePlatform { return &fakePlatform{changed: make(chan struct{})} }

func (p *fakePlatform) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *fakePlatform) publish(doc *config.Document)     { p.update(func() { p.doc = doc }) }
func (p *fakePlatform) publishList(list *model.HostList) { p.update(func() { p.list = list }) }
func (p *fakePlatform) setDown(down bool)                { p.update(func() { p.down = down }) }

// read waits until fresh returns true or wait has passed.
func (p *fakePlatform) read(ctx context.Context, wait time.Duration, fresh func() bool) error {
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	deadline := time.After(wait)
	for {
		p.mu.Lock()
		down, ready, changed := p.down, fresh(), p.changed
		p.mu.Unlock()
		if down {
			return errPlatformDown
		}
		if ready || wait == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-deadline:
			return nil
		case <-changed:
		}
	}
}

func (p *fakePlatform) Document(ctx context.Context, after model.Revision, wait time.Duration) (*config.Document, error) {
	if err := p.read(ctx, wait, func() bool { return p.doc != nil && p.doc.Revision != after }); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.doc == nil {
		return nil, errPlatformDown
	}
	return &config.Document{Revision: p.doc.Revision, Keys: maps.Clone(p.doc.Keys)}, nil
}

func (p *fakePlatform) HostList(ctx context.Context, after model.Revision, wait time.Duration) (*model.HostList, error) {
	if err := p.read(ctx, wait, func() bool { return p.list != nil && p.list.Revision != after }); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.list == nil {
		return nil, errPlatformDown
	}
	return p.list, nil
}

const testDefaults = `{"deadline_default_ms":1000,"deadline_max_ms":5000,"straggler_wait_ms":100,"min_coverage":0.9,
"hedge_quantile":0.95,"hedge_budget":0.05,"retry_budget":0.05,"caller_rate":100,"caller_burst":%d,"caller_inflight":10,"max_body_bytes":65536}`

// testConfig returns a valid document. Tests distinguish documents by burst.
func testConfig(revision model.Revision, burst, targets int) *config.Document {
	keys := map[string]json.RawMessage{
		"defaults":         json.RawMessage(fmt.Sprintf(testDefaults, burst)),
		"workloads/review": json.RawMessage(`{"description":"diff review","idempotent":true}`),
	}
	shards := make([]model.Shard, 0, targets)
	for i := range targets {
		id := model.TargetID(fmt.Sprintf("target-%d", i))
		target := model.Target{
			ID: id, Addr: fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255), Slots: 2, MaxConnections: 25,
			Region: model.Region(fmt.Sprintf("r%d", i%7)), FailureDomain: model.FailureDomain(fmt.Sprintf("d%d", i%18)),
		}
		keys["targets/"+string(id)], _ = json.Marshal(&target)
		shards = append(shards, model.Shard{ID: model.ShardID(fmt.Sprintf("s%d", i)), Service: "forms", Replicas: []model.TargetID{id}})
	}
	keys["index/review"], _ = json.Marshal(&model.Index{Snapshots: []model.ShardMap{{Snapshot: 1, Shards: shards}}})
	return &config.Document{Revision: revision, Keys: keys}
}

// platformID is the id of the platform in cuts.
const platformID = "platform"

// memberPlatform is one member's connection to the platform. A cut affects only
// reads of the configuration, not of the host list.
type memberPlatform struct {
	*fakePlatform
	cuts *cuts
	self model.HostID
}

func (p memberPlatform) Document(ctx context.Context, after model.Revision, wait time.Duration) (*config.Document, error) {
	if p.cuts.isCut(p.self, platformID) {
		return nil, errPlatformDown
	}
	doc, err := p.fakePlatform.Document(ctx, after, wait)
	if p.cuts.isCut(p.self, platformID) {
		return nil, errPlatformDown
	}
	return doc, err
}

// member is one host of a test fleet.
type member struct {
	host   model.Host
	fleet  *Fleet
	mesh   *peer.Mesh
	scope  tally.TestScope
	cancel context.CancelFunc
	done   chan struct{}
}

func (m *member) stop() {
	m.cancel()
	<-m.done
	_ = m.mesh.Close()
}

func (m *member) revision() model.Revision {
	if fleet := m.fleet.Current().Fleet; fleet != nil {
		return fleet.Revision
	}
	return 0
}

func (m *member) burst() int {
	if fleet := m.fleet.Current().Fleet; fleet != nil {
		return fleet.Defaults.CallerBurst
	}
	return 0
}

// counter returns the sum of a counter over all tags, or over those with the
// given reason if it is not empty.
func (m *member) counter(name, reason string) int64 {
	var total int64
	for _, c := range m.scope.Snapshot().Counters() {
		if c.Name() == name && (reason == "" || c.Tags()["reason"] == reason) {
			total += c.Value()
		}
	}
	return total
}

var testKey = []byte("0123456789abcdef0123456789abcdef")

// testFleet is a set of members that share one platform and connect over
// loopback.
type testFleet struct {
	t        testing.TB
	platform *fakePlatform
	members  []*member
	cuts     cuts
	change   func(*Options, *peer.Options)
}

func quietLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return log
}

// hostOf returns host i of the fleet with the peer address addr.
func hostOf(i int, addr string) model.Host {
	return model.Host{
		ID: model.HostID(fmt.Sprintf("host-%d", i)), PeerAddr: addr, State: model.Live,
		Region: "r0", FailureDomain: model.FailureDomain(fmt.Sprintf("d%d", i%3)),
	}
}

// start starts a member. Its address must be free.
func (f *testFleet) start(host model.Host, seeds []model.Host) *member {
	f.t.Helper()
	directory := NewDirectory(seeds)
	scope := tally.NewTestScope("", nil)
	peerOpts := peer.Options{
		Self: host.ID, ListenAddr: host.PeerAddr, Keys: [][]byte{testKey}, Lookup: directory.Lookup, Scope: scope, Log: quietLog(),
		DialTimeout: 5 * time.Second, BackoffMax: 200 * time.Millisecond,
	}
	opts := Options{
		Self: host, Platform: memberPlatform{f.platform, &f.cuts, host.ID}, Directory: directory, Scope: scope, Log: quietLog(),
		GossipInterval: 50 * time.Millisecond, WatchWait: 2 * time.Second, PollInterval: 10 * time.Second,
	}
	if f.change != nil {
		f.change(&opts, &peerOpts)
	}
	mesh, err := peer.NewMesh(peerOpts)
	require.NoError(f.t, err)
	opts.Transport = &cutTransport{Transport: mesh, self: host.ID, cuts: &f.cuts}
	opts.Registrar = mesh
	fleet, err := New(opts)
	require.NoError(f.t, err)
	require.NoError(f.t, mesh.Start(context.Background()))
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{host: host, fleet: fleet, mesh: mesh, scope: scope, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(m.done)
		_ = fleet.Run(ctx)
	}()
	return m
}
