package edge

import (
	"io"
	"net"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

// MetricsPath is the path at which metrics are served.
const MetricsPath = "/metrics"

// metricsServer serves the host's metrics to scrapers.
type metricsServer struct {
	scope   metrics.Scope
	handler http.Handler
	closer  io.Closer
	log     logrus.FieldLogger
}

func newMetricsServer(log logrus.FieldLogger) *metricsServer {
	scope, handler, closer := metrics.New(log)
	return &metricsServer{scope: scope, handler: handler, closer: closer, log: log}
}

// serve serves metrics and the given paths until the listener is closed; a nil listener
// serves none.
func (m *metricsServer) serve(l net.Listener, paths map[string]http.HandlerFunc) {
	if l == nil {
		return
	}
	mux := http.NewServeMux()
	mux.Handle(MetricsPath, m.handler)
	for path, handler := range paths {
		mux.HandleFunc("GET "+path, handler)
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readyTimeout}
	go func() { m.log.WithError(server.Serve(l)).Info("scrapers' listener closed") }()
}

// fleet sets the gauges of the fleet's size and of the current view.
func (m *metricsServer) fleet(hosts int, v *catalog.View) {
	m.scope.Gauge("fleet_hosts").Update(float64(hosts))
	m.scope.Gauge("targets").Update(float64(len(v.Targets)))
	if v.Config != nil {
		m.scope.Gauge("config_version").Update(float64(v.Config.Version))
	}
}

func (m *metricsServer) close() {
	if err := m.closer.Close(); err != nil {
		m.log.WithError(err).Warn("last metrics were not reported")
	}
}
