// Package edge_test runs in-process hosts in platform mode against stand-ins for the
// store and the targets, over real connections.
package edge_test

import (
	"bytes"
	"cmp"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/extrabudget"
	"github.com/swiftvane/swiftvane/internal/decision/gathering"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/standin/deployment"
	"github.com/swiftvane/swiftvane/internal/standin/faultproxy"
	"github.com/swiftvane/swiftvane/internal/standin/searcher"
	"github.com/swiftvane/swiftvane/internal/support/loopback"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
	"github.com/swiftvane/swiftvane/internal/wiring/edge"
	"github.com/swiftvane/swiftvane/platform"
)

const (
	shards   = 8
	replicas = 2
	topK     = 10
	records  = 12
	// waitLimit is how long a test waits for a condition before it fails.
	waitLimit = 10 * time.Second
)

// cluster is a stand-in deployment of the platform and the hosts that use it.
type cluster struct {
	*deployment.Deployment
	t     *testing.T
	hosts []*host
	opts  options
	// readers are the addresses for links of the hosts that read the store.
	readers []string
	regions map[string]string
	// blockStore is set if hosts that start don't reach the store.
	blockStore bool
	// ran is set once the first hosts run: those that start later are no first start.
	ran bool
}

type host struct {
	edge    *edge.Edge
	addr    string
	ready   string
	metrics string
	log     *syncBuffer
	// dialer is nil unless the links to targets can be cut, toStore unless that to the store can.
	dialer  *cutDialer
	toStore *faultproxy.Proxy
}

// syncBuffer is a buffer that is safe for concurrent reads and writes.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// options configure a cluster; the zero value is one host and targets without faults.
type options struct {
	hosts int
	work  time.Duration
	fault func(service, id string) searcher.Fault
	// raw returns the bytes that a searcher sends in place of an answer, none for the answer.
	raw func(searcherID, requestID, signature string) (raw []byte, closes bool)
	// stopWithin is the hosts' grace, 3 s if it is zero.
	stopWithin time.Duration
	// memory is the hosts' memory limit in bytes, none if it is zero.
	memory int64
	// domain returns a searcher's failure domain; nil means that of the hosts for all.
	domain func(id string) string
	// regions has the regions of failure domains; hosts are in that of theirs.
	regions map[string]string
	// objective is that of all routes, 5 s if it is zero.
	objective time.Duration
	// linked makes the hosts follow the first one, which reads the store.
	linked bool
	// doubtClock replaces the clock of disputed evacuations, nil for the real one.
	doubtClock func() time.Time
	// cuttable makes the hosts' links to targets such that can be cut.
	cuttable bool
	// storeCuttable makes the hosts reach the store by proxies.
	storeCuttable bool
	// workOf replaces work by the request's id; nil means work for all.
	workOf func(requestID string) time.Duration
	// readers is the number of hosts that read the store for the others, 1 if it is zero.
	readers int
	// singles is the number of searchers for single requests, 3 if it is zero.
	singles int
	// headerTimeout is that of the first configuration, 500 ms if it is zero.
	headerTimeout time.Duration
	// crash configures requests that crash searchers, maxConns the connections of a searcher.
	crash    *deployment.Crash
	maxConns int
}

func shardName(i int) string { return deployment.Shard(i) }

func start(t *testing.T, o options) *cluster {
	t.Helper()
	// With the race detector, a fleet with gatherers leaves other tests too little processor time.
	if o.hosts < gathering.MinHosts {
		t.Parallel()
	}
	if o.objective == 0 {
		o.objective = 5 * time.Second
	}
	d, err := deployment.Start(deployment.Options{
		Shards: shards, Replicas: replicas, Singles: cmp.Or(o.singles, 3), Attempts: 2, Work: o.work, WorkOf: o.workOf, Records: records, TopK: topK, Fault: o.fault, Raw: o.raw, Domain: o.domain, Crash: o.crash, MaxConns: o.maxConns,
		Timeout: 10 * time.Second, Objective: o.objective, LeastCoverage: 0.75,
		Limits: catalog.Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 65536, HeaderTimeout: cmp.Or(o.headerTimeout, 500*time.Millisecond), IdleTimeout: 5 * time.Second},
	})
	require.NoError(t, err)
	t.Cleanup(d.Close)
	c := &cluster{Deployment: d, t: t, opts: o, regions: o.regions}
	if o.linked {
		c.readers = loopback.Addrs(max(o.readers, 1))
	}
	for i := range max(o.hosts, 1) {
		c.startHost(i)
		if i < len(c.readers) {
			c.hosts[i].awaitReady(t)
		}
	}
	c.ran = true
	for _, h := range c.hosts {
		h.awaitReady(t)
	}
	return c
}

func (c *cluster) publish(config *catalog.Config) {
	c.t.Helper()
	require.NoError(c.t, c.Publish(config))
}

// addHost starts a host and waits until it is ready.
func (c *cluster) addHost(i int) *host {
	c.t.Helper()
	h := c.startHost(i)
	h.awaitReady(c.t)
	return h
}

func (h *host) awaitReady(t *testing.T) {
	t.Helper()
	require.Eventually(t, h.isReady, waitLimit, 5*time.Millisecond)
}

func (c *cluster) startHost(i int) *host {
	c.t.Helper()
	log := logrus.New()
	buffer := &syncBuffer{}
	log.SetOutput(buffer)
	log.SetFormatter(&logrus.JSONFormatter{})
	addrs := loopback.Addrs(4)
	h := &host{addr: addrs[0], ready: addrs[1], metrics: addrs[2], log: buffer}
	peer, readers := "", c.readers
	if len(readers) > 0 {
		peer = addrs[3]
		if i < len(readers) {
			peer = readers[i]
		}
	}
	var dialer targetpool.Dialer
	if c.opts.cuttable {
		h.dialer = newCutDialer()
		dialer = h.dialer
	}
	store := c.Store.Addr()
	if c.opts.storeCuttable {
		h.toStore = startProxy(c.t, store)
		if c.blockStore {
			h.toStore.SetRule(faultproxy.Blackhole())
		}
		store = h.toStore.Addr()
	}
	h.edge = edge.New(edge.Options{
		Dialer: dialer,
		Host:   "host-" + strconv.Itoa(i), FailureDomain: "z-1", FirstStart: !c.ran,
		CallerAddr: addrs[0], ReadyAddr: addrs[1], ReadyPath: platform.ReadyPath,
		StopWithin:  cmp.Or(c.opts.stopWithin, 3*time.Second),
		MemoryBytes: c.opts.memory,
		Extra:       extrabudget.Limit{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		Regions:     catalog.Regions{Own: c.regions["z-1"], ByDomain: c.regions},
		Cold:        edge.ColdBound{Over: 1.5, Slack: 5},
		PeerAddr:    peer, LimitSmallFleets: c.opts.linked,
		DoubtClock:  c.opts.doubtClock,
		Readers:     func() []string { return readers },
		MetricsAddr: h.metrics,
		Store:       platform.NewStore(store),
		Decode:      platform.Decode,
		CallerCodec: platform.CallerCodec{},
		TargetCodec: platform.TargetCodec{},
		Log:         log,
	})
	require.NoError(c.t, h.edge.Start())
	c.hosts = append(c.hosts, h)
	c.t.Cleanup(func() {
		h.edge.Stop()
		if c.t.Failed() {
			c.t.Logf("log of host %d:\n%s", i, h.log)
		}
	})
	return h
}

func startProxy(t *testing.T, server string) *faultproxy.Proxy {
	t.Helper()
	p, err := faultproxy.Start(server)
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p
}

func (h *host) isReady() bool {
	resp, err := http.Get("http://" + h.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// caller sends requests to one host through its own connection pool.
type caller struct {
	client *http.Client
	host   *host
	// timeout is how long the caller waits for each answer.
	timeout time.Duration
}

// callerTimeout is how long callers wait for an answer.
const callerTimeout = 9 * time.Second

func (h *host) caller() *caller {
	return &caller{host: h, timeout: callerTimeout, client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 16}}}
}

// reply is a complete HTTP response.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// ask sends one request and returns the reply, or an error if there is no complete
// response.
func (c *caller) ask(method, path, id string, body []byte) (*reply, error) {
	req, err := http.NewRequest(method, "http://"+c.host.addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Host = deployment.HostName
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(c.timeout.Milliseconds(), 10))
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	return &reply{status: resp.StatusCode, header: resp.Header, body: got}, nil
}

// dial opens a raw connection to the host.
func (h *host) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", h.addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitLimit)))
	return conn
}
