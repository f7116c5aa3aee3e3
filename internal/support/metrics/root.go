package metrics

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// Prefix begins the name of each of the tier's metrics.
const Prefix = "swiftvane"

// ReportInterval is the time after which a count shows in a scrape at the latest.
const ReportInterval = time.Second

// New returns the root scope, the handler that serves it to Prometheus scrapers
// together with the Go runtime's metrics, and what stops reporting. Metrics that
// can't be registered, as with two tag sets under one name, are logged and
// dropped.
func New(log logrus.FieldLogger) (Scope, http.Handler, io.Closer) {
	registry := prom.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer: registry,
		Gatherer:   registry,
		OnRegisterError: func(err error) {
			log.WithError(err).Error("metric dropped: it could not be registered")
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 Prefix,
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, ReportInterval)
	return scope, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), closer
}
