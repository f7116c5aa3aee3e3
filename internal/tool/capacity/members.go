package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/fleet"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
	"github.com/swiftvane/swiftvane/internal/support/loopback"
)

const (
	readyTimeout = 60 * time.Second
	statePoll    = 2 * time.Millisecond
)

// member runs the control loop and the links of one host in a measured fleet.
type member struct {
	fleet *fleet.Fleet
	mesh  *peer.Mesh
	scope tally.TestScope
	done  chan struct{}
}

// members is a fleet in this process that runs only the control loops of its
// hosts and reads one platform.
type members struct {
	platform *memPlatform
	all      []*member
	cancel   context.CancelFunc
}

// startMembers starts n members with a configuration of the given number of
// targets and returns once all members are ready.
func startMembers(ctx context.Context, n, targets int, log logrus.FieldLogger) (*members, error) {
	list := &model.HostList{Revision: 1}
	size := DesignSize()
	for i, addr := range loopback.Addrs(n) {
		list.Hosts = append(list.Hosts, hostAt(i, addr, &size))
	}
	doc, err := documentOf(1, targets, &size)
	if err != nil {
		return nil, err
	}
	m := &members{platform: newMemPlatform(doc, list)}
	ctx, m.cancel = context.WithCancel(ctx)
	for _, host := range list.Hosts {
		one, err := m.start(ctx, host, log)
		if err != nil {
			m.stop()
			return nil, err
		}
		m.all = append(m.all, one)
	}
	if err := m.await(ctx, func(one *member) bool { return one.fleet.Ready() }); err != nil {
		m.stop()
		return nil, err
	}
	return m, nil
}

func (m *members) start(ctx context.Context, host model.Host, log logrus.FieldLogger) (*member, error) {
	directory := fleet.NewDirectory(nil)
	scope := tally.NewTestScope("", nil)
	mesh, err := peer.NewMesh(peer.Options{
		Self: host.ID, ListenAddr: host.PeerAddr, Keys: [][]byte{[]byte("a key for measurements on loopback only")},
		Lookup: directory.Lookup, Scope: scope, Log: log,
	})
	if err != nil {
		return nil, err
	}
	f, err := fleet.New(fleet.Options{
		Self: host, Platform: m.platform, Transport: mesh, Registrar: mesh, Directory: directory, Scope: scope, Log: log,
	})
	if err != nil {
		return nil, err
	}
	if err := mesh.Start(ctx); err != nil {
		return nil, err
	}
	one := &member{fleet: f, mesh: mesh, scope: scope, done: make(chan struct{})}
	go func() {
		defer close(one.done)
		_ = f.Run(ctx) // ends with ctx
	}()
	return one, nil
}

// await waits until holds returns true for every member.
func (m *members) await(ctx context.Context, holds func(*member) bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, one := range m.all {
		for !holds(one) {
			select {
			case <-ctx.Done():
				return eris.Wrap(ctx.Err(), "measured fleet: a member did not reach the expected state")
			case <-time.After(statePoll):
			}
		}
	}
	return nil
}

// traffic returns the total traffic of all links. Each message counts twice, at
// its sender and at its receiver.
func (m *members) traffic() traffic {
	var sum traffic
	for _, one := range m.all {
		t := linkTraffic(one.scope)
		sum.bytes += t.bytes
		sum.messages += t.messages
	}
	return sum
}

func (m *members) stop() {
	m.cancel()
	for _, one := range m.all {
		<-one.done
		_ = one.mesh.Close()
	}
}

// hostAt returns host i of a fleet spread over the regions and failure domains
// of size.
func hostAt(i int, addr string, size *Size) model.Host {
	domain := i % size.FailureDomains
	return model.Host{
		ID: model.HostID(fmt.Sprintf("host-%04d", i)), PeerAddr: addr, State: model.Live,
		Region:        model.Region(fmt.Sprintf("region-%d", domain%size.Regions)),
		FailureDomain: model.FailureDomain(fmt.Sprintf("domain-%02d", domain)),
	}
}
