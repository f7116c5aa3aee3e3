// Package edge_test runs hosts in the platform's mode against stand-ins of the
// store and of targets, over real connections.
package edge_test

import (
	"bytes"
	"fmt"
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
	"github.com/swiftvane/swiftvane/internal/standin/searcher"
	"github.com/swiftvane/swiftvane/internal/standin/store"
	"github.com/swiftvane/swiftvane/internal/support/loopback"
	"github.com/swiftvane/swiftvane/internal/wiring/edge"
	"github.com/swiftvane/swiftvane/platform"
)

const (
	shards   = 8
	replicas = 2
	topK     = 10
	records  = 12
	// limit is how long a test waits for what must happen.
	limit = 10 * time.Second
)

// cluster is a store, searchers and hosts.
type cluster struct {
	t     *testing.T
	store *store.Store
	// searchers by service.
	searchers map[string][]*searcher.Searcher
	hosts     []*host
	version   int64
	fault     func(service, id string) searcher.Fault
}

type host struct {
	edge  *edge.Edge
	addr  string
	ready string
	log   *lockedBuffer
}

// lockedBuffer is a log that is read while it is written.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// options change a cluster; the zero value is a calm one.
type options struct {
	hosts  int
	work   time.Duration
	unsafe bool
	fault  func(service, id string) searcher.Fault
}

func shardName(i int) string { return fmt.Sprintf("shard-%02d", i) }

func start(t *testing.T, o options) *cluster {
	t.Helper()
	t.Parallel()
	s, err := store.Start()
	require.NoError(t, err)
	t.Cleanup(s.Close)
	c := &cluster{t: t, store: s, searchers: map[string][]*searcher.Searcher{}, fault: o.fault, version: 1}
	for i := range shards {
		c.addService(shardName(i), replicas, o.work)
	}
	c.addService("single", 3, o.work)
	c.putConfig(c.config(o.unsafe))
	for i := range max(o.hosts, 1) {
		c.addHost(i)
	}
	return c
}

func (c *cluster) addService(name string, n int, work time.Duration) {
	for i := range n {
		c.addSearcher(name, fmt.Sprintf("%s-%d", name, i), "127.0.0.1:0", work)
	}
}

func (c *cluster) addSearcher(service, id, addr string, work time.Duration) *searcher.Searcher {
	c.t.Helper()
	s, err := searcher.Start(addr, searcher.Options{
		ID: id, Service: service, Slots: 2, Queue: 12, Work: work, Records: records,
		Fault: func(request string) searcher.Fault {
			if c.fault == nil {
				return searcher.None
			}
			return c.fault(service, request)
		},
	})
	require.NoError(c.t, err)
	c.t.Cleanup(s.Close)
	c.searchers[service] = append(c.searchers[service], s)
	c.putTarget(service, id, s.Addr(), "ready")
	return s
}

func (c *cluster) putTarget(service, id, addr, state string) {
	c.store.PutJSON("servers/"+id, map[string]any{
		"service": service, "address": addr, "zone": "z-1", "version": "v1", "concurrency": 2,
		"state": state, "warmup_left_ms": 0, "sequence": 1, "born": 1,
	})
}

func (c *cluster) config(unsafe bool) map[string]any {
	gather := make([]string, shards)
	services := []map[string]any{{"name": "single", "max_conns": 100}}
	for i := range shards {
		gather[i] = shardName(i)
		services = append(services, map[string]any{"name": gather[i], "max_conns": 26})
	}
	kind := "safe"
	if unsafe {
		kind = "unsafe"
	}
	return map[string]any{
		"version": c.version,
		"routes": []map[string]any{
			{"name": "sweep", "host": "a.example", "prefix": "/sweep/", "type": "safe", "timeout_ms": 10000, "slo_ms": 5000, "priority": 1, "gather": gather, "attempts": 2, "top_k": topK, "oldest_version": 0.75},
			{"name": "one", "host": "a.example", "prefix": "/one/", "type": kind, "timeout_ms": 10000, "slo_ms": 5000, "priority": 2, "service": "single", "attempts": 2},
		},
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 4096, "max_body_bytes": 65536, "header_timeout_ms": 500, "idle_timeout_ms": 5000},
	}
}

func (c *cluster) putConfig(config map[string]any) {
	c.store.PutJSON("op/config", config)
	c.version++
}

func (c *cluster) addHost(i int) *host {
	c.t.Helper()
	log := logrus.New()
	buffer := &lockedBuffer{}
	log.SetOutput(buffer)
	log.SetFormatter(&logrus.JSONFormatter{})
	addrs := loopback.Addrs(2)
	h := &host{addr: addrs[0], ready: addrs[1], log: buffer}
	h.edge = edge.New(edge.Options{
		Host: "host-" + strconv.Itoa(i), FailureDomain: "z-1",
		CallerAddr: addrs[0], ReadyAddr: addrs[1], ReadyPath: platform.ReadyPath,
		StopWithin:  3 * time.Second,
		Extra:       extrabudget.Limit{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		Readers:     func() []string { return nil },
		Store:       platform.NewStore(c.store.Addr()),
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
	require.Eventually(c.t, h.isReady, limit, 5*time.Millisecond)
	return h
}

func (h *host) isReady() bool {
	resp, err := http.Get("http://" + h.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// caller is one caller's connection pool to one host.
type caller struct {
	client *http.Client
	host   *host
}

func (h *host) caller() *caller {
	return &caller{host: h, client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 16}}}
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// ask sends one request and returns the answer, or an error where there was none.
func (c *caller) ask(method, path, id string, body []byte) (*reply, error) {
	req, err := http.NewRequest(method, "http://"+c.host.addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Host = "a.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "9000")
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
	require.NoError(t, conn.SetDeadline(time.Now().Add(limit)))
	return conn
}
