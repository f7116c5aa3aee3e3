package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
	"github.com/swiftvane/swiftvane/internal/support/loopback"
)

// waitTimeout limits waits for a condition. It is not an assertion on speed.
const waitTimeout = 30 * time.Second

func TestMain(m *testing.M) {
	// fasthttp keeps these goroutines for the life of the process or for some
	// seconds after a server stops.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// newTestFleet starts n members on one platform with configuration revision 10
// and host list revision 1, and waits until all are ready.
func newTestFleet(t testing.TB, n int, change func(*Options, *peer.Options)) *testFleet {
	t.Helper()
	f := &testFleet{t: t, platform: newFakePlatform(), change: change}
	list := &model.HostList{Revision: 1}
	for i, addr := range loopback.Addrs(n) {
		list.Hosts = append(list.Hosts, hostOf(i, addr))
	}
	f.platform.publish(testConfig(10, 1, 20))
	f.platform.publishList(list)
	for _, h := range list.Hosts {
		f.members = append(f.members, f.start(h, nil))
	}
	t.Cleanup(func() {
		for _, m := range f.members {
			m.stop()
		}
	})
	f.eventually("all are ready", func(m *member) bool { return m.fleet.Ready() })
	return f
}

// eventually waits until condition holds for all members.
func (f *testFleet) eventually(what string, condition func(*member) bool) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		for _, m := range f.members {
			if !condition(m) {
				return false
			}
		}
		return true
	}, waitTimeout, 5*time.Millisecond, what)
}

func TestAcceptedRevisionIsInForceOnAllHosts(t *testing.T) {
	f := newTestFleet(t, 7, nil)
	for _, m := range f.members {
		require.Len(t, m.fleet.Current().Owners, 20)
		require.Equal(t, f.members[0].fleet.Current().Owners, m.fleet.Current().Owners)
	}
	f.platform.publish(testConfig(11, 2, 20))
	f.eventually("revision 11", func(m *member) bool { return m.revision() == 11 && m.burst() == 2 })
}
