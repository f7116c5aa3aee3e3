package daemon

import (
	"github.com/swiftvane/swiftvane/internal/face/admin"
)

// adminOptions hands the components to the administration API.
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
		Metrics:    d.tools.handler,
		Scope:      d.tools.scope,
		Log:        d.tools.log,
	}
}

// drainer begins the planned stop that an operator asks for.
type drainer struct{ d *Daemon }

// Drain implements admin.Drainer.
func (r drainer) Drain() bool {
	if !r.d.draining.CompareAndSwap(false, true) {
		return false
	}
	close(r.d.drainAsked)
	return true
}
