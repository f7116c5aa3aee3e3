package requestid

import (
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// Field names in the errors of Parse.
const (
	FieldID       = "request_id"
	FieldIssuedAt = "X-Request-Issued-At"
)

const uuidv7 = 7

// Parse checks a caller's id and its issue time against now, this host's clock.
// issuedAt is in RFC 3339 or Unix milliseconds and is ignored for a UUIDv7. An id
// without an issue time counts as issued a full RetentionWindow ago and is
// refused as too old: the tier may no longer remember that it ran. The error
// names the field and says how to correct it.
func Parse(value, issuedAt string, now time.Time) (ID, *verdict.Error) {
	if refusal := checkValue(value); refusal != nil {
		return ID{}, refusal
	}
	issued, refusal := issueTime(value, issuedAt)
	if refusal != nil {
		return ID{}, refusal
	}
	id := ID{Value: value, IssuedAt: issued}
	return id, CheckAge(issued, now)
}

// CheckAge refuses an id that was issued RetentionWindow or longer ago, or more
// than ClockMargin in the future. A request with an expired id may have run
// earlier, so its verdict is Unknown.
func CheckAge(issued, now time.Time) *verdict.Error {
	age := now.Sub(issued)
	if age < -ClockMargin {
		return verdict.RefuseField(verdict.RequestIDInvalid, FieldID,
			"issued %s in the future by this host's clock, at most %s is allowed; set the issuing clock", -age, ClockMargin)
	}
	if age >= RetentionWindow {
		return &verdict.Error{
			Verdict: verdict.Unknown,
			Reason:  verdict.RequestIDExpired,
			Field:   FieldID,
			Message: "issued " + age.Truncate(time.Second).String() + " ago, an id may be sent for " + RetentionWindow.String() +
				"; look up what became of the request before you send it under a new id",
		}
	}
	return nil
}

func checkValue(value string) *verdict.Error {
	if value == "" {
		return verdict.RefuseField(verdict.RequestIDInvalid, FieldID, "the id is empty; leave the field out to have one issued")
	}
	if len(value) > MaxBytes {
		return verdict.RefuseField(verdict.RequestIDInvalid, FieldID, "%d bytes, at most %d are allowed", len(value), MaxBytes)
	}
	for i := range len(value) {
		if value[i] <= ' ' || value[i] > '~' {
			return verdict.RefuseField(verdict.RequestIDInvalid, FieldID, "byte %d is not a printable ASCII character", i)
		}
	}
	return nil
}

// issueTime returns the time in a UUIDv7 in preference to issuedAt: a caller that
// sets a new time on each resend must not make an old id appear recent.
func issueTime(value, issuedAt string) (time.Time, *verdict.Error) {
	if u, err := uuid.Parse(value); err == nil && u.Version() == uuidv7 {
		return timeOf(u), nil
	}
	if issuedAt == "" {
		return time.Time{}, verdict.RefuseField(verdict.RequestIDExpired, FieldIssuedAt,
			"an id without its issue time counts as issued %s ago, which is too old; use a UUIDv7 as the id, or send the time at which you made the id (not the time of each resend), like 2006-01-02T15:04:05.000Z", RetentionWindow)
	}
	if t, err := time.Parse(time.RFC3339Nano, issuedAt); err == nil {
		return t, nil
	}
	if ms, err := strconv.ParseInt(issuedAt, 10, 64); err == nil && ms > 0 {
		return time.UnixMilli(ms), nil
	}
	return time.Time{}, verdict.RefuseField(verdict.RequestIDInvalid, FieldIssuedAt,
		"%q is neither RFC 3339, like 2006-01-02T15:04:05.000Z, nor Unix milliseconds", issuedAt)
}
