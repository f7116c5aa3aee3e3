// Package embedded runs a complete tier in one process: stand-ins for the
// platform and the targets, and one or more hosts. It is used by demonstrations,
// experiments and benchmarks, not in production.
package embedded

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/standin/cluster"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/support/loopback"
	"github.com/swiftvane/swiftvane/internal/support/settings"
	"github.com/swiftvane/swiftvane/internal/wiring/daemon"
)

const (
	// loopbackAnyPort is a listen address with a free port on the loopback interface.
	loopbackAnyPort = "127.0.0.1:0"
	// readyPoll is the time between readiness checks of a starting host.
	readyPoll = 10 * time.Millisecond
	// secretLen is the length of a peer key or token in bytes.
	secretLen = 48
)

// Options configures a Tier.
type Options struct {
	// Hosts is the number of the tier's hosts; zero means one.
	Hosts int
	// Cluster configures the stand-ins. Start sets its Hosts.
	Cluster cluster.Options
	// Adjust changes a host's settings before it starts; it may be nil.
	Adjust func(*settings.Settings)
	Log    logrus.FieldLogger
}

// Tier is a running tier with its stand-ins.
type Tier struct {
	Cluster *cluster.Cluster
	Hosts   []*daemon.Daemon
}

// Start starts the stand-ins and the hosts and returns once every host is ready.
// If it fails or ctx ends first, it stops everything and returns an error.
func Start(ctx context.Context, o Options) (*Tier, error) {
	t := &Tier{}
	if err := t.start(ctx, &o); err != nil {
		t.Close()
		return nil, err
	}
	return t, nil
}

func (t *Tier) start(ctx context.Context, o *Options) error {
	list := fixture.Hosts(loopback.Addrs(max(1, o.Hosts))...)
	o.Cluster.Hosts = list
	var err error
	if t.Cluster, err = cluster.Start(o.Cluster); err != nil {
		return err
	}
	secrets := settings.Secrets{
		PeerKeys:   [][]byte{secret()},
		ReadToken:  secret(),
		WriteToken: secret(),
	}
	for i := range list.Hosts {
		s := t.hostSettings(&list.Hosts[i], secrets)
		if o.Adjust != nil {
			o.Adjust(s)
		}
		host, err := daemon.New(s, o.Log)
		if err != nil {
			return err
		}
		if err := host.Start(context.Background()); err != nil {
			return err
		}
		t.Hosts = append(t.Hosts, host)
	}
	return t.awaitReady(ctx)
}

// hostSettings returns the settings of a host. The lame-duck time is zero because
// there is no load balancer, and the claim history wait is zero because the fleet
// is new: no host of an earlier one can hold claims that this one lacks.
func (t *Tier) hostSettings(host *model.Host, secrets settings.Secrets) *settings.Settings {
	s := settings.Defaults()
	s.Host = settings.Host{ID: host.ID, Region: host.Region, FailureDomain: host.FailureDomain}
	s.Listen = settings.Listen{Caller: loopbackAnyPort, Admin: loopbackAnyPort, Peer: host.PeerAddr, AdvertisedPeer: host.PeerAddr}
	s.Platform.BaseURL = "http://" + t.Cluster.Platform.Addr()
	s.Limits.LameDuckMS = 0
	s.Limits.ClaimHistoryWaitMS = 0
	s.Secrets = secrets
	return s
}

func (t *Tier) awaitReady(ctx context.Context) error {
	for _, host := range t.Hosts {
		for !host.Ready() {
			select {
			case <-ctx.Done():
				return eris.Wrap(ctx.Err(), "embedded tier: a host did not become ready")
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// CallerURLs returns the base URLs at which the hosts serve callers.
func (t *Tier) CallerURLs() []string {
	urls := make([]string, len(t.Hosts))
	for i, host := range t.Hosts {
		urls[i] = "http://" + host.CallerAddr()
	}
	return urls
}

// Close stops the hosts and the stand-ins. Requests in flight are aborted.
func (t *Tier) Close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, host := range t.Hosts {
		_ = host.Stop(ctx)
	}
	if t.Cluster != nil {
		t.Cluster.Close()
	}
}

func secret() []byte {
	value := make([]byte, secretLen)
	_, _ = rand.Read(value) // never fails
	return value
}
