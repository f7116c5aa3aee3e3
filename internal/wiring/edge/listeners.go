package edge

import (
	"net"

	"github.com/rotisserie/eris"

	"github.com/swiftvane/swiftvane/internal/support/listener"
)

// listeners are a host's listeners; those without an address are nil.
type listeners struct{ callers, ready, metrics, peers net.Listener }

// listen opens all listeners, or none if one can't be opened.
func (e *Edge) listen() (*listeners, error) {
	l := &listeners{}
	for _, open := range []struct {
		into    *net.Listener
		addr    string
		purpose string
		// optional listeners are left out without an address.
		optional bool
	}{
		{&l.callers, e.opts.CallerAddr, "listen for callers", false},
		{&l.ready, e.opts.ReadyAddr, "listen for the balancer", false},
		{&l.metrics, e.opts.MetricsAddr, "listen for scrapers", true},
		{&l.peers, e.opts.PeerAddr, "listen for other hosts", true},
	} {
		if open.optional && open.addr == "" {
			continue
		}
		opened, err := listener.Listen(open.addr, e.opts.Log)
		if err != nil {
			l.close()
			return nil, eris.Wrap(err, open.purpose)
		}
		*open.into = opened
	}
	return l, nil
}

// close closes the listeners that are open.
func (l *listeners) close() {
	for _, open := range []net.Listener{l.callers, l.ready, l.metrics, l.peers} {
		if open != nil {
			_ = open.Close() //nolint:errcheck // the caller reports why the others were not opened
		}
	}
}
