// Package logging makes the daemon's logger and names the fields of its lines.
//
// A line is one JSON object. At the default level each refused or failed request
// has one line and no sub-request has any.
package logging

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// DefaultLevel is the level of a daemon whose settings name none.
const DefaultLevel = "info"

// New returns a logger that writes JSON lines with the host's id to w. It fails
// on a level that logrus does not know.
func New(w io.Writer, level string, host model.HostID) (logrus.FieldLogger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", level, err)
	}
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(parsed)
	logger.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: time.RFC3339Nano,
		FieldMap:        logrus.FieldMap{logrus.FieldKeyMsg: "message"},
	})
	return logger.WithField(FieldHost, string(host)), nil
}

// Component returns a logger whose lines name the component.
func Component(log logrus.FieldLogger, name string) logrus.FieldLogger {
	return log.WithField(FieldComponent, name)
}
