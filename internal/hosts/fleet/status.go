package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

// Status is the state of a host, with the source and age of each document and the
// age of each peer's report.
type Status struct {
	Self   model.Host `cbor:"1,keyasint" json:"self"`
	Ready  bool       `cbor:"2,keyasint" json:"ready"`
	Paused bool       `cbor:"3,keyasint" json:"paused"`
	// Watching reports whether this host watches the platform.
	Watching bool           `cbor:"4,keyasint" json:"watching"`
	Config   DocumentStatus `cbor:"5,keyasint" json:"config"`
	HostList DocumentStatus `cbor:"6,keyasint" json:"host_list"`
	// LeavingTargets and LeavingHosts are the targets and hosts that get no new
	// work.
	LeavingTargets []model.TargetID `cbor:"7,keyasint" json:"leaving_targets"`
	LeavingHosts   []model.HostID   `cbor:"8,keyasint" json:"leaving_hosts"`
	// Peers holds the last reported state of the peers that reported recently.
	Peers []PeerStatus `cbor:"9,keyasint" json:"peers"`
}

// DocumentStatus is the state of the configuration or the host list on a host.
type DocumentStatus struct {
	Revision model.Revision `cbor:"1,keyasint" json:"revision"`
	Digest   uint64         `cbor:"2,keyasint" json:"digest"`
	// Source is "platform" or "peer " and the id of the peer that sent the
	// document. It is empty if no document is in force.
	Source string `cbor:"3,keyasint" json:"source"`
	// AgeMS is the time since the document came into force.
	AgeMS int64 `cbor:"4,keyasint" json:"age_ms"`
	// PlatformAgeMS is the time since this process last read the document from
	// the platform, or -1 if it never did.
	PlatformAgeMS int64 `cbor:"5,keyasint" json:"platform_age_ms"`
	// Rejected is the rejected document with the highest revision.
	Rejected *RejectedStatus `cbor:"6,keyasint,omitempty" json:"rejected,omitempty"`
}

// RejectedStatus describes a document that failed validation.
type RejectedStatus struct {
	Revision model.Revision `cbor:"1,keyasint" json:"revision"`
	Reason   string         `cbor:"2,keyasint" json:"reason"`
	Source   string         `cbor:"3,keyasint" json:"source"`
	AgeMS    int64          `cbor:"4,keyasint" json:"age_ms"`
}

// PeerStatus is the state that a peer last reported.
type PeerStatus struct {
	Host     model.HostID   `cbor:"1,keyasint" json:"host"`
	Config   model.Revision `cbor:"2,keyasint" json:"config_revision"`
	HostList model.Revision `cbor:"3,keyasint" json:"host_list_revision"`
	AgeMS    int64          `cbor:"4,keyasint" json:"age_ms"`
}

// HostStatus is one host's status, or the error of the call that asked for it.
type HostStatus struct {
	Host   model.HostID `json:"host"`
	Status *Status      `json:"status,omitempty"`
	Error  string       `json:"error,omitempty"`
}

// maxConcurrentStatusCalls limits the hosts that FleetStatus asks concurrently.
const maxConcurrentStatusCalls = 32

// Status returns the state of this host.
func (f *Fleet) Status(ctx context.Context) (*Status, error) {
	answers := make(chan *Status, 1)
	f.post(statusRequested{answer: func(s *Status) { answers <- s }})
	select {
	case s := <-answers:
		return s, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// FleetStatus asks every host of the host list for its status and returns the
// results in order of the list. A host that does not answer in time has an error.
func (f *Fleet) FleetStatus(ctx context.Context) []HostStatus {
	list := f.Current().Hosts
	if list == nil {
		return nil
	}
	result := make([]HostStatus, len(list.Hosts))
	slots := make(chan struct{}, maxConcurrentStatusCalls)
	var wg sync.WaitGroup
	for i, h := range list.Hosts {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			result[i] = f.hostStatus(ctx, h.ID)
		})
	}
	wg.Wait()
	return result
}

func (f *Fleet) hostStatus(ctx context.Context, id model.HostID) HostStatus {
	ctx, cancel := context.WithTimeout(ctx, f.opts.CallTimeout)
	defer cancel()
	var s Status
	if err := f.opts.Transport.Call(ctx, id, peer.KindStatus, &pullRequest{}, &s); err != nil {
		return HostStatus{Host: id, Error: err.Error()}
	}
	return HostStatus{Host: id, Status: &s}
}

// status builds the status from the control goroutine's state.
func (c *control) status() *Status {
	now := c.now()
	p := c.fleet.current.Load()
	s := &Status{
		Self: c.fleet.opts.Self, Ready: p.ready, Paused: c.fleet.Paused(), Watching: p.watching,
		Config: c.documentStatus(configDocument, now), HostList: c.documentStatus(hostListDocument, now),
		LeavingTargets: []model.TargetID{}, LeavingHosts: []model.HostID{}, Peers: []PeerStatus{},
	}
	for id := range p.view.LeavingTargets {
		s.LeavingTargets = append(s.LeavingTargets, id)
	}
	for id := range p.view.LeavingHosts {
		s.LeavingHosts = append(s.LeavingHosts, id)
	}
	for id, state := range c.peers {
		s.Peers = append(s.Peers, PeerStatus{Host: id, Config: state.config.Revision, HostList: state.hosts.Revision, AgeMS: now.Sub(state.at).Milliseconds()})
	}
	return s
}

func (c *control) documentStatus(kind documentKind, now time.Time) DocumentStatus {
	r := c.replica(kind)
	s := DocumentStatus{Revision: r.version.Revision, Digest: r.version.Digest, Source: r.source, PlatformAgeMS: -1}
	if r.doc != nil {
		s.AgeMS = now.Sub(r.at).Milliseconds()
	}
	if at, ok := c.platformAt[kind]; ok {
		s.PlatformAgeMS = now.Sub(at).Milliseconds()
	}
	if latest, ok := r.rejections.newest(); ok {
		s.Rejected = &RejectedStatus{Revision: latest.version.Revision, Reason: latest.reason, Source: latest.source, AgeMS: now.Sub(latest.at).Milliseconds()}
	}
	return s
}
