package targetpool

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/standin/echo"
)

// timedDialer records when the last connection to each address was opened.
type timedDialer struct {
	mu    sync.Mutex
	dials map[string]time.Time
}

func (d *timedDialer) Dial(addr string, _ time.Duration) (net.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dials[addr] = time.Now()
	return echo.Connect(echoTime, nil), nil
}

// TestWarmConnectionsAreSpreadInLargeFleet guards against all hosts of a large or
// unknown fleet opening their warm connections at once when they start together. A
// call still opens its connection at once.
func TestWarmConnectionsAreSpreadInLargeFleet(t *testing.T) {
	const targets = 100
	for _, hosts := range []int{0, 7, 59} {
		synctest.Test(t, func(t *testing.T) {
			dialer := &timedDialer{dials: map[string]time.Time{}}
			d := NewDirectory(Options{Codec: echo.Codec{}, Dialer: dialer, Log: discardLogger(), Host: "h"})
			d.SetFleet(Fleet{Hosts: hosts})
			all := map[catalog.TargetID]*catalog.Target{}
			for i := range targets {
				id := catalog.TargetID(fmt.Sprintf("t-%d", i))
				all[id] = &catalog.Target{ID: id, Service: catalog.ServiceName("s-" + id), Addr: string(id)}
			}
			began := time.Now()
			d.Update(catalog.NewView(nil, catalog.Position{Revision: 1}, all))
			submitAndWait(t, d.pools["t-0"], "r")
			require.WithinDuration(t, began, time.Now(), 2*echoTime, "a call opens its connection at once")
			synctest.Wait()
			early := dialer.count()
			time.Sleep(largeFleetSpread)
			synctest.Wait()
			require.Equal(t, targets, dialer.count())
			require.Equal(t, hosts == 7, early == targets, "%d hosts", hosts)
			require.True(t, hosts == 7 || early < targets/5, "%d connections at once", early)
			d.Update(catalog.NewView(nil, catalog.Position{Revision: 2}, nil))
		})
	}
}

func (d *timedDialer) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.dials)
}
