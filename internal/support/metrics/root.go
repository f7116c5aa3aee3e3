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

// Prefix is the prefix of the name of each metric of the tier.
const Prefix = "swiftvane"

// ReportInterval is the longest time until a change of a counter shows in a scrape.
const ReportInterval = time.Second

// New returns the root scope, the handler that serves it and the Go runtime's
// metrics to Prometheus scrapers, and a closer that stops reporting. Metrics that
// can't be registered, such as two with one name and different tags, are logged
// and dropped, as are reports that would lower a counter.
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
		CachedReporter:         &monotonicReporter{CachedStatsReporter: reporter, log: log},
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, ReportInterval)
	return scope, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), closer
}
