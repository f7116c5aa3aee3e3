package adminapi

import "fmt"

// Reason is the cause for which the administration API refused a request. It is
// the reason tag of the counter of refusals.
type Reason string

// Reasons for refusing an administration request.
const (
	TokenMissing  Reason = "token_missing"
	TokenWrong    Reason = "token_wrong"
	TokenReadOnly Reason = "token_read_only"
	BadRequest    Reason = "bad_request"
	NotFound      Reason = "not_found"
	TooManyWaits  Reason = "too_many_waits"
	NoConfig      Reason = "no_config"
	Internal      Reason = "internal"
)

// Error is the body of answers to refused requests, with a status of 400 or more.
type Error struct {
	Reason  Reason `json:"reason"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("%s: %s: %s", e.Reason, e.Field, e.Message)
	}
	return fmt.Sprintf("%s: %s", e.Reason, e.Message)
}
