package edge

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/face/adminapi"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// evacuationMonitor reports the evacuations of failure domains in log and metrics. It is
// used by one goroutine.
type evacuationMonitor struct {
	log   logrus.FieldLogger
	scope metrics.Scope
	// within is the time that the operator allows; zero if it is unknown.
	within time.Duration
	// inEffect has the evacuations without a call in flight, overdue those that had some
	// after within, by domain and the time at which the host learned of them.
	inEffect map[string]time.Time
	overdue  map[string]time.Time
	// reported is set while the gauges are not zero.
	reported bool
}

func newEvacuationMonitor(log logrus.FieldLogger, scope metrics.Scope, within time.Duration) *evacuationMonitor {
	return &evacuationMonitor{log: log, scope: scope, within: within, inEffect: map[string]time.Time{}, overdue: map[string]time.Time{}}
}

// update reports the current evacuations.
func (m *evacuationMonitor) update(all []targetpool.EvacuationStatus, now time.Time) {
	if len(all) == 0 && !m.reported {
		return
	}
	m.reported = len(all) > 0
	targets, inFlight := 0, 0
	for i := range all {
		targets += all[i].Targets
		inFlight += all[i].InFlight
		m.note(&all[i], now)
	}
	m.scope.Gauge("evacuated_domains").Update(float64(len(all)))
	m.scope.Gauge("evacuated_targets").Update(float64(targets))
	m.scope.Gauge("evacuated_in_flight").Update(float64(inFlight))
	if len(all) == 0 {
		clear(m.inEffect)
		clear(m.overdue)
	}
}

// note logs once for each evacuation when it is in effect, and when it is not after the
// time that the operator allows.
func (m *evacuationMonitor) note(s *targetpool.EvacuationStatus, now time.Time) {
	age := now.Sub(s.Since)
	log := m.log.WithFields(logrus.Fields{
		"domain": s.Domain, "revision": s.Position.Revision, "store_era": s.Position.Era, "age_ms": age.Milliseconds(), "targets": s.Targets,
	})
	switch {
	case m.inEffect[s.Domain].Equal(s.Since):
	case s.InFlight == 0:
		m.inEffect[s.Domain] = s.Since
		log.Info("evacuation of a failure domain is in effect")
	case m.within > 0 && age > m.within && !m.overdue[s.Domain].Equal(s.Since):
		m.overdue[s.Domain] = s.Since
		log.WithField("calls_in_flight", s.InFlight).Warn("calls to an evacuated failure domain are still in flight")
	}
}

// serveEvacuations lists the evacuations as JSON.
func (e *Edge) serveEvacuations(w http.ResponseWriter, _ *http.Request) {
	list := lo.Map(e.directory.Evacuations(), func(s targetpool.EvacuationStatus, _ int) adminapi.Evacuation {
		return adminapi.Evacuation{Domain: s.Domain, Revision: s.Position.Revision, Since: s.Since, Targets: s.Targets, InFlight: s.InFlight}
	})
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		e.opts.Log.WithError(err).Debug("evacuations were not sent")
	}
}
