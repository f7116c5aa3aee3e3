package demo

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/decision/extrabudget"
	"github.com/swiftvane/swiftvane/internal/standin/deployment"
	"github.com/swiftvane/swiftvane/internal/support/loopback"
	"github.com/swiftvane/swiftvane/internal/wiring/edge"
	"github.com/swiftvane/swiftvane/platform"
)

const (
	// extraRatio, extraSlack and extraWindow bound the extra load of a service.
	extraRatio  = 0.2
	extraSlack  = 50
	extraWindow = 10 * time.Second
	// stopWithin bounds the time that a host takes to stop.
	stopWithin = 2 * time.Second
)

// edgeHost is one host that runs in platform mode within this process.
type edgeHost struct {
	host *edge.Edge
	addr string
}

// startEdgeHosts starts n hosts, of which the first reads the store on behalf of
// all. On an error it returns the hosts already started.
func startEdgeHosts(d *deployment.Deployment, n int, log logrus.FieldLogger) ([]edgeHost, error) {
	peers := loopback.Addrs(n)
	var hosts []edgeHost
	for i := range n {
		addrs := loopback.Addrs(2)
		h := edge.New(edge.Options{
			Host: fmt.Sprintf("host-%d", i), FailureDomain: deployment.FailureDomain,
			CallerAddr: addrs[0], ReadyAddr: addrs[1], ReadyPath: platform.ReadyPath, PeerAddr: peers[i],
			Readers:    func() []string { return peers[:1] },
			StopWithin: stopWithin,
			Extra:      extrabudget.Limit{Ratio: extraRatio, Slack: extraSlack, Window: extraWindow},
			Store:      platform.NewStore(d.Store.Addr()), Decode: platform.Decode,
			CallerCodec: platform.CallerCodec{}, TargetCodec: platform.TargetCodec{},
			Log: log,
		})
		if err := h.Start(); err != nil {
			return hosts, err
		}
		hosts = append(hosts, edgeHost{host: h, addr: addrs[0]})
	}
	return hosts, nil
}
