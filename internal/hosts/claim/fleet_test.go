package claim

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/requestid"
	"github.com/swiftvane/swiftvane/internal/domain/view"
)

// testFleet is a fleet of services that are connected by a memnet.
type testFleet struct {
	t     testing.TB
	net   *memnet
	mu    sync.Mutex
	hosts map[model.HostID]*testHost
	// confirmed is the time at which a host's list counts as confirmed when the host
	// starts; a host without an entry uses the current time.
	confirmed map[model.HostID]time.Time
}

// testHost is one process of a testFleet.
type testHost struct {
	*Service
	id     model.HostID
	stop   context.CancelFunc
	ended  chan struct{}
	list   atomic.Pointer[model.HostList]
	offset atomic.Int64
	// confirmed is when the platform last confirmed the list, in Unix milliseconds;
	// zero means the current time.
	confirmed atomic.Int64
}

func (h *testHost) listConfirmedAt() time.Time {
	if ms := h.confirmed.Load(); ms != 0 {
		return time.UnixMilli(ms)
	}
	return time.Now()
}

// Current implements view.Source.
func (h *testHost) Current() *view.View { return &view.View{Hosts: h.list.Load()} }

func quietLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func hostIDs(n int) []model.HostID {
	ids := make([]model.HostID, n)
	for i := range ids {
		ids[i] = model.HostID(fmt.Sprintf("host-%d", i+1))
	}
	return ids
}

func hostList(revision model.Revision, ids []model.HostID) *model.HostList {
	list := &model.HostList{Revision: revision}
	for _, id := range ids {
		list.Hosts = append(list.Hosts, model.Host{ID: id, State: model.Live})
	}
	return list
}

// newFleet starts n processes whose incarnation is old enough to vote on new ids.
func newFleet(t testing.TB, n int, seed uint64) *testFleet {
	f := &testFleet{t: t, net: newMemnet(seed), hosts: make(map[model.HostID]*testHost)}
	ids := hostIDs(n)
	for _, id := range ids {
		f.start(id, time.Now().Add(-time.Hour), hostList(1, ids))
	}
	t.Cleanup(f.close)
	return f
}

func (f *testFleet) start(id model.HostID, started time.Time, list *model.HostList) *testHost {
	end := f.net.endpoint(id)
	h := &testHost{id: id, ended: make(chan struct{})}
	h.list.Store(list)
	if at, ok := f.confirmed[id]; ok {
		h.confirmed.Store(at.UnixMilli())
	}
	h.Service = New(Options{
		Self:            model.Host{ID: id},
		Incarnation:     model.Incarnation(started.UnixMilli()),
		Views:           h,
		ListConfirmedAt: h.listConfirmedAt,
		Transport:       end,
		Registrar:       end,
		Clock:           func() time.Time { return time.Now().Add(time.Duration(h.offset.Load())) },
		Scope:           tally.NoopScope,
		Log:             quietLog(),
	})
	f.net.join(end)
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	go func() {
		defer close(h.ended)
		_ = h.Run(ctx)
	}()
	require.Eventually(f.t, func() bool { return len(h.lists.Load().hosts) > 0 }, 30*time.Second, time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[id] = h
	return h
}

func (f *testFleet) host(i int) *testHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[hostIDs(i)[i-1]]
}

// crash ends a process; its memory is lost.
func (f *testFleet) crash(id model.HostID) {
	f.net.kill(id)
	f.mu.Lock()
	h := f.hosts[id]
	delete(f.hosts, id)
	f.mu.Unlock()
	h.stop()
	<-h.ended
}

func (f *testFleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		h.stop()
		<-h.ended
	}
	f.net.pending.Wait()
}

func soon() time.Time { return time.Now().Add(20 * time.Second) }

func mint(t testing.TB) requestid.ID {
	id, err := requestid.Mint()
	require.NoError(t, err)
	return id
}

// resent returns id as it arrives from a caller.
func resent(id requestid.ID) requestid.ID {
	id.Minted = false
	return id
}
