package targetpool

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/httpreply"
	"github.com/swiftvane/swiftvane/internal/support/logging"
	"github.com/swiftvane/swiftvane/internal/support/panics"
)

// invalidLinesPerSecond bounds the log lines on invalid replies of one target.
const invalidLinesPerSecond = 1

// invalidReplies tells operators of replies that the protocol does not allow.
type invalidReplies struct {
	count tally.Counter
	lines *logging.Budget
}

func newInvalidReplies(opts *Options) invalidReplies {
	return invalidReplies{count: scopeOf(opts).Counter("target_replies_invalid"), lines: logging.NewBudget(invalidLinesPerSecond)}
}

// noteInvalid counts and logs the end of a connection with err, if that is for an invalid reply or one that the decoder
// could not handle.
// call is the one in flight, nil for none. The caller does not hold the lock.
func (p *Pool) noteInvalid(call *Call, err error, now time.Time) {
	if call == nil || !httpreply.IsInvalid(err) && !panics.Is(err) {
		return
	}
	p.invalid.count.Inc(1)
	ok, omitted := p.invalid.lines.Take("", now)
	if !ok {
		return
	}
	p.log.WithError(err).WithFields(logrus.Fields{logging.FieldRequestID: call.Request.ID, "lines_left_out": omitted}).Warn("invalid reply was dropped")
}
