// Package logging creates the daemon's logger and names the fields of its lines.
//
// A line is one JSON object. At the default level one line is logged for each
// refused or failed request, and none for a sub-request.
package logging

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// DefaultLevel is the log level if the settings name none.
const DefaultLevel = "info"

// New returns a logger that writes JSON lines with the host's id to w. It returns an
// error if logrus has no such level.
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

// Component returns a logger that adds the component's name to its lines.
func Component(log logrus.FieldLogger, name string) logrus.FieldLogger {
	return log.WithField(FieldComponent, name)
}
