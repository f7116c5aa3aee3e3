package targetlimit

import (
	"math"
	"time"
)

const (
	// MaxServices bounds the services in a report and in the totals of a reader.
	MaxServices = 1024
	// reportKept is how long a report counts.
	reportKept = 3 * time.Second
)

// ServiceDemand is a host's, or several hosts', demand for a service in requests a second.
type ServiceDemand struct {
	Service   string  `cbor:"1,keyasint"`
	PerSecond float64 `cbor:"2,keyasint"`
}

// valid reports whether the demand can be true.
func (d *ServiceDemand) valid() bool { return d.PerSecond >= 0 && !math.IsInf(d.PerSecond, 0) }

// Report is the last report of one host or reader. The zero value reports nothing.
type Report struct {
	demand []ServiceDemand
	at     time.Time
}

// NewReport returns a report that was received at now, without what is beyond MaxServices.
func NewReport(demand []ServiceDemand, now time.Time) Report {
	return Report{demand: demand[:min(len(demand), MaxServices)], at: now}
}

// Totals adds up reports by service. The zero value is empty.
type Totals struct {
	perSecond map[string]float64
}

// Add adds a report unless it is too old at now.
func (t *Totals) Add(r Report, now time.Time) {
	if now.Sub(r.at) > reportKept {
		return
	}
	if t.perSecond == nil {
		t.perSecond = map[string]float64{}
	}
	for _, d := range r.demand {
		if _, known := t.perSecond[d.Service]; d.valid() && (known || len(t.perSecond) < MaxServices) {
			t.perSecond[d.Service] += d.PerSecond
		}
	}
}

// List returns the totals.
func (t *Totals) List() []ServiceDemand {
	list := make([]ServiceDemand, 0, len(t.perSecond))
	for service, perSecond := range t.perSecond {
		list = append(list, ServiceDemand{Service: service, PerSecond: perSecond})
	}
	return list
}
