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

// timedDialer notes when each connection is opened.
type timedDialer struct {
	mu    sync.Mutex
	dials map[string]time.Time
}

func (d *timedDialer) Dial(addr string, _ time.Duration) (net.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dials[addr] = time.Now()
	return echo.Connect(work, nil), nil
}

// TestHostsThatStartTogetherSpreadTheirConnections answers the start of all hosts
// of a large fleet; a call does not wait for that.
func TestHostsThatStartTogetherSpreadTheirConnections(t *testing.T) {
	const targets = 100
	for _, hosts := range []int{0, 7, 59} {
		synctest.Test(t, func(t *testing.T) {
			dialer := &timedDialer{dials: map[string]time.Time{}}
			d := NewDirectory(Options{Codec: echo.Codec{}, Dialer: dialer, Log: quiet(), Host: "h"})
			d.SetFleet(Fleet{Hosts: hosts})
			all := map[catalog.TargetID]*catalog.Target{}
			for i := range targets {
				id := catalog.TargetID(fmt.Sprintf("t-%d", i))
				all[id] = &catalog.Target{ID: id, Service: catalog.ServiceName("s-" + id), Addr: string(id)}
			}
			began := time.Now()
			d.Update(catalog.NewView(nil, 1, all))
			ask(t, d.pools["t-0"], "r")
			require.WithinDuration(t, began, time.Now(), 2*work, "a call opens its connection")
			synctest.Wait()
			early := dialer.count()
			time.Sleep(crowdSpread)
			synctest.Wait()
			require.Equal(t, targets, dialer.count())
			require.Equal(t, hosts == 7, early == targets, "%d hosts", hosts)
			require.True(t, hosts == 7 || early < targets/5, "%d at once", early)
			d.Update(catalog.NewView(nil, 2, nil))
		})
	}
}

func (d *timedDialer) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.dials)
}
