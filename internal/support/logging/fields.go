package logging

import (
	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// Names of the fields that log lines share.
const (
	FieldHost       = "host"
	FieldComponent  = "component"
	FieldRequestID  = "request_id"
	FieldCaller     = "caller"
	FieldWorkload   = "workload"
	FieldService    = "service"
	FieldTarget     = "target"
	FieldVerdict    = "verdict"
	FieldReason     = "reason"
	FieldRetryAfter = "retry_after_ms"
)

// Request identifies the request of a log line. Empty values are left out.
type Request struct {
	RequestID string
	Caller    model.CallerID
	Workload  model.WorkloadName
	Service   model.ServiceName
	Target    model.TargetID
}

// Fields returns the request's log fields.
func (r Request) Fields() logrus.Fields {
	fields := logrus.Fields{}
	for name, value := range map[string]string{
		FieldRequestID: r.RequestID,
		FieldCaller:    string(r.Caller),
		FieldWorkload:  string(r.Workload),
		FieldService:   string(r.Service),
		FieldTarget:    string(r.Target),
	} {
		if value != "" {
			fields[name] = value
		}
	}
	return fields
}

// Failed logs a refused or failed request in one line: at warning level if the
// request may have run, and at info level otherwise.
func Failed(log logrus.FieldLogger, r Request, err *verdict.Error) {
	fields := r.Fields()
	fields[FieldVerdict] = err.Verdict.String()
	fields[FieldReason] = string(err.Reason)
	if err.RetryAfter > 0 {
		fields[FieldRetryAfter] = err.RetryAfter.Milliseconds()
	}
	entry := log.WithFields(fields)
	if err.Verdict == verdict.NotRun {
		entry.Info(err.Message)
		return
	}
	entry.Warn(err.Message)
}
