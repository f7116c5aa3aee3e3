package daemon

import (
	"github.com/swiftvane/swiftvane/internal/face/admin"
)

// adminOptions returns the options of the administration API.
func (d *Daemon) adminOptions() admin.Options {
	return admin.Options{
		Sources: admin.Sources{
			Status:     newStatusSource(d),
			Config:     configSource{d.fleet},
			Targets:    targetLister{views: d.fleet, local: d.local},
			Quarantine: quarantineStore{d.quarantine},
			Drainer:    drainer{d},
		},
		ReadToken:  d.settings.Secrets.ReadToken,
		WriteToken: d.settings.Secrets.WriteToken,
		Metrics:    d.telemetry.handler,
		Scope:      d.telemetry.scope,
		Log:        d.telemetry.log,
	}
}

// drainer requests a graceful stop on behalf of an operator.
type drainer struct{ d *Daemon }

// Drain implements admin.Drainer.
func (r drainer) Drain() bool {
	if !r.d.draining.CompareAndSwap(false, true) {
		return false
	}
	close(r.d.drainRequested)
	return true
}
