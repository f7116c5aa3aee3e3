package daemon

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/face/adminapi"
	"github.com/swiftvane/swiftvane/internal/hosts/fleet"
	"github.com/swiftvane/swiftvane/internal/support/version"
)

const (
	// statusTimeout bounds the wait for this host's own control goroutine.
	statusTimeout = 500 * time.Millisecond
	// surveyInterval is the minimum time between two surveys of all hosts.
	surveyInterval = 500 * time.Millisecond
	// surveyTimeout bounds one survey.
	surveyTimeout = 3 * time.Second
	// ageUnknown is the age reported for a host whose state is unknown.
	ageUnknown = -1
)

// statusSource reports the state of the fleet as seen by this host. Gossip covers
// only the host's partners, so statusSource also queries all hosts directly, in
// the background and only while the status is being read.
type statusSource struct {
	d          *Daemon
	lastSurvey atomic.Pointer[survey]
	mu         sync.Mutex
	running    bool
}

// survey holds the answers of all hosts to one status request.
type survey struct {
	at    time.Time
	hosts map[model.HostID]*fleet.Status
}

func newStatusSource(d *Daemon) *statusSource {
	s := &statusSource{d: d}
	s.lastSurvey.Store(&survey{hosts: map[model.HostID]*fleet.Status{}})
	return s
}

// Status implements admin.StatusSource.
func (s *statusSource) Status() adminapi.Status {
	d := s.d
	status := adminapi.Status{
		Self:            d.fleet.Current().Self,
		Incarnation:     d.incarnation,
		Version:         version.String(),
		Ready:           d.Ready(),
		Draining:        d.draining.Load(),
		InflightQueries: int(d.entry.Inflight()),
		UptimeMS:        time.Since(d.startedAt).Milliseconds(),
	}
	if status.Draining {
		status.Self.State = model.Leaving
		status.NotReadyBecause = "the host is leaving"
	} else if refusal := d.readiness.refusal(); refusal != nil {
		status.NotReadyBecause = refusal.Message
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	own, err := d.fleet.Status(ctx)
	if err != nil {
		status.Platform.LastError = "the control goroutine did not answer"
		return status
	}
	status.Config = configStatus(&own.Config)
	status.HostList = adminapi.HostListStatus{Revision: own.HostList.Revision, AgeMS: own.HostList.AgeMS}
	status.Platform = adminapi.PlatformStatus{
		Watching:  own.Watching,
		Reachable: own.Config.PlatformAgeMS >= 0 && own.Config.PlatformAgeMS < (2*fleet.DefaultWatchWait).Milliseconds(),
		AgeMS:     own.Config.PlatformAgeMS,
	}
	if r := own.Config.Rejected; r != nil {
		status.Platform.LastError = fmt.Sprintf("revision %d from %s was not accepted: %s", r.Revision, r.Source, r.Reason)
	}
	status.Hosts = s.hosts(own)
	return status
}

// hosts returns all hosts of the host list, each with its newest known state.
func (s *statusSource) hosts(own *fleet.Status) []adminapi.HostStatus {
	list := s.d.fleet.Current().Hosts
	if list == nil {
		return nil
	}
	gossiped := make(map[model.HostID]fleet.PeerStatus, len(own.Peers))
	for _, p := range own.Peers {
		gossiped[p.Host] = p
	}
	polled := s.lastSurvey.Load()
	s.refresh()
	statuses := make([]adminapi.HostStatus, 0, len(list.Hosts))
	for _, host := range list.Hosts {
		hostStatus := adminapi.HostStatus{Host: host, AgeMS: ageUnknown}
		if p, ok := gossiped[host.ID]; ok {
			hostStatus.Config.Revision, hostStatus.HostListRevision, hostStatus.AgeMS, hostStatus.Linked = p.Config, p.HostList, p.AgeMS, true
		}
		if st := polled.hosts[host.ID]; st != nil && st.Config.Revision >= hostStatus.Config.Revision {
			hostStatus.Config, hostStatus.HostListRevision, hostStatus.Linked = configStatus(&st.Config), st.HostList.Revision, true
			hostStatus.AgeMS = time.Since(polled.at).Milliseconds()
		}
		if host.ID == s.d.settings.Host.ID {
			hostStatus.Config, hostStatus.HostListRevision, hostStatus.AgeMS = configStatus(&own.Config), own.HostList.Revision, 0
		}
		statuses = append(statuses, hostStatus)
	}
	return statuses
}

// refresh starts a survey in the background, unless one is running or the last
// one ended less than surveyInterval ago.
func (s *statusSource) refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running || time.Since(s.lastSurvey.Load().at) < surveyInterval {
		return
	}
	s.running = true
	s.d.background.Go(func() {
		ctx, cancel := context.WithTimeout(s.d.ctx, surveyTimeout)
		defer cancel()
		next := &survey{hosts: map[model.HostID]*fleet.Status{}}
		for _, h := range s.d.fleet.FleetStatus(ctx) {
			next.hosts[h.Host] = h.Status
		}
		next.at = time.Now()
		s.lastSurvey.Store(next)
		s.mu.Lock()
		s.running = false
		s.mu.Unlock()
	})
}

func configStatus(s *fleet.DocumentStatus) adminapi.ConfigStatus {
	if s.Revision == 0 {
		return adminapi.ConfigStatus{}
	}
	return adminapi.ConfigStatus{Revision: s.Revision, Digest: fmt.Sprintf("%016x", s.Digest), AgeMS: s.AgeMS}
}
