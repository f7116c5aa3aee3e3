package edge

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/hosts/catalogsync"
)

// readyTimeout bounds the reading of one request's header.
const readyTimeout = 2 * time.Second

// readiness answers the balancer's readiness checks. A host is ready while it has
// a configuration and is not stopping.
type readiness struct {
	path     string
	follower *catalogsync.Follower
	stopping atomic.Bool
}

func newReadiness(path string, follower *catalogsync.Follower) *readiness {
	return &readiness{path: path, follower: follower}
}

// serve answers readiness checks until the listener is closed.
func (r *readiness) serve(l net.Listener, log logrus.FieldLogger) {
	mux := http.NewServeMux()
	mux.HandleFunc(r.path, r.answer)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readyTimeout}
	go func() {
		if err := server.Serve(l); err != nil {
			log.WithError(err).Info("balancer's listener closed")
		}
	}()
}

func (r *readiness) stop() { r.stopping.Store(true) }

func (r *readiness) isReady() bool {
	return !r.stopping.Load() && r.follower.View().Config != nil
}

func (r *readiness) answer(w http.ResponseWriter, _ *http.Request) {
	if !r.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
