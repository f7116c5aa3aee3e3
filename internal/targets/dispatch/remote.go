package dispatch

import (
	"errors"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

// Remote sends sub-requests to other hosts over peer links.
type Remote struct {
	transport peer.Transport
}

// NewRemote returns a Remote over transport.
func NewRemote(transport peer.Transport) *Remote { return &Remote{transport: transport} }

// SubmitTo sends a sub-request to host. It follows the contract of
// subquery.Dispatcher.
func (r *Remote) SubmitTo(host model.HostID, req *subquery.Request, done func(*subquery.Answer)) (cancel func()) {
	return r.transport.Go(host, peer.KindSubquery, req, req.Deadline,
		func(reply cbor.RawMessage, err error) { done(decodeAnswer(reply, err)) })
}

// decodeAnswer converts the outcome of a call into an answer. A reply without a
// reason whose verdict is not Ran is invalid and treated as truncated.
func decodeAnswer(reply cbor.RawMessage, err error) *subquery.Answer {
	if err != nil {
		return transportFailure(err)
	}
	a := &subquery.Answer{}
	if err := cbor.Unmarshal(reply, a); err != nil || (a.OK() && a.Verdict != verdict.Ran) {
		return unknownAnswer(verdict.ReplyTruncated)
	}
	a.Bound()
	return a
}

// transportFailure converts the error of a call into an answer. Without a verdict
// in the error, the sub-request may have run.
func transportFailure(err error) *subquery.Answer {
	var failure *verdict.Error
	if !errors.As(err, &failure) {
		a := unknownAnswer(verdict.PeerLinkLost)
		a.Message = err.Error()
		return a
	}
	return &subquery.Answer{
		Verdict:    failure.Verdict,
		Reason:     failure.Reason,
		Message:    failure.Message,
		RetryAfter: failure.RetryAfter,
	}
}
