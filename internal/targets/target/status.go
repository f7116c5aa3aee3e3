package target

import "github.com/swiftvane/swiftvane/internal/domain/verdict"

// Status is the outcome of an exchange as reported by the target.
type Status uint8

// The statuses of an answer. Any other value makes the whole reply invalid.
const (
	// StatusOK means that the exchange ran and Body holds its result.
	StatusOK Status = 1
	// StatusRefused means that the target did not start the exchange.
	StatusRefused Status = 2
	// StatusFailed means that the target started the exchange, but it failed or was
	// cancelled and has no result.
	StatusFailed Status = 3
)

func (s Status) valid() bool { return s >= StatusOK && s <= StatusFailed }

// verdict returns the verdict on whether the exchange ran.
func (s Status) verdict() verdict.Verdict {
	switch s {
	case StatusOK, StatusFailed:
		return verdict.Ran
	case StatusRefused:
		return verdict.NotRun
	default:
		return verdict.Unknown
	}
}

// targetReasons are the reasons that a target may report.
var targetReasons = map[verdict.Reason]struct{}{
	verdict.TargetShed:          {},
	verdict.TargetLeaving:       {},
	verdict.TargetFailed:        {},
	verdict.DeadlinePassed:      {},
	verdict.SnapshotUnavailable: {},
	verdict.Cancelled:           {},
	verdict.BadRequest:          {},
	verdict.UnknownWorkload:     {},
	verdict.UnknownService:      {},
}

// reason returns the item's reason, which is empty only for StatusOK. A reason that
// a target may not report becomes TargetFailed.
func (a *AnswerItem) reason() verdict.Reason {
	if a.Status == StatusOK {
		return ""
	}
	if _, known := targetReasons[a.Reason]; known {
		return a.Reason
	}
	return verdict.TargetFailed
}
