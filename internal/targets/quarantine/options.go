package quarantine

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/view"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

// Options configure a Service. All fields but Clock are required.
type Options struct {
	Self        model.Host
	Incarnation model.Incarnation
	Views       view.Source
	Transport   peer.Transport
	Registrar   peer.Registrar
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
	Scope metrics.Scope
	Log   logrus.FieldLogger
}
