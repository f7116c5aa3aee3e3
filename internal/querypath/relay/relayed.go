package relay

import (
	"net/http"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// relayed returns the answer that passes a target's reply on. A reply whose status tells
// a caller that its request has not run, although the target did not report that, is
// replaced by a failure: the request may have run.
func relayed(reply *exchange.Reply) *exchange.Answer {
	switch reply.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return &exchange.Answer{Status: http.StatusBadGateway, Reason: exchange.TargetFailed}
	default:
		return &exchange.Answer{Status: reply.Status, Relayed: reply}
	}
}
