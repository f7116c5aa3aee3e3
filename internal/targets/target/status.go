package target

import "github.com/swiftvane/swiftvane/internal/domain/verdict"

// Status says what the target did with an exchange.
type Status uint8

// The statuses of an answer. Any other value makes the whole reply invalid.
const (
	// StatusOK means that the exchange ran and Body holds its result.
	StatusOK Status = 1
	// StatusRefused means that the target did not start the exchange.
	StatusRefused Status = 2
	// StatusFailed means that the target started the exchange and it has no
	// result, because it failed or was cancelled.
	StatusFailed Status = 3
)

func (s Status) valid() bool { return s >= StatusOK && s <= StatusFailed }

// verdict returns what the status says about the exchange having run.
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

// refusals are the reasons that a target may name.
var refusals = map[verdict.Reason]struct{}{
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

// reason returns the item's reason, which is never empty unless it succeeded.
func (a *AnswerItem) reason() verdict.Reason {
	if a.Status == StatusOK {
		return ""
	}
	if _, known := refusals[a.Reason]; known {
		return a.Reason
	}
	return verdict.TargetFailed
}
