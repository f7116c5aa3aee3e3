package listener

import (
	"errors"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/support/logging"
)

const (
	// firstRetryPause and longestRetryPause bound the backoff between two attempts to accept.
	firstRetryPause   = 5 * time.Millisecond
	longestRetryPause = 100 * time.Millisecond
	// linesPerSecond bounds the log lines on failed attempts of one listener.
	linesPerSecond = 1
)

// retrying is a listener whose Accept fails only once it is closed. Other errors, such as that of
// a process without free file descriptors, pass; those who accept would end for good.
type retrying struct {
	*net.TCPListener
	// accept is the Accept of TCPListener, which tests replace.
	accept func() (net.Conn, error)
	log    logrus.FieldLogger
	lines  *logging.Budget
}

func newRetrying(l *net.TCPListener, log logrus.FieldLogger) *retrying {
	return &retrying{TCPListener: l, accept: l.Accept, log: log, lines: logging.NewBudget(linesPerSecond)}
}

// Accept implements net.Listener. Connections wait in the backlog while it fails.
func (r *retrying) Accept() (net.Conn, error) {
	for pause := firstRetryPause; ; pause = min(2*pause, longestRetryPause) {
		conn, err := r.accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		r.logFailure(err)
		time.Sleep(pause)
	}
}

func (r *retrying) logFailure(err error) {
	ok, omitted := r.lines.Take("", time.Now())
	if !ok {
		return
	}
	entry := r.log.WithError(err).WithFields(logrus.Fields{"addr": r.Addr().String(), "lines_left_out": omitted})
	entry.Warn("connection was not accepted; trying again")
}
