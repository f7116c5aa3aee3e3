package gatherlink

import (
	"unicode/utf8"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// AppendFields appends the header lines of an answer by which a caller gets its signatures and what
// else is passed on of a target's reply, each ended by CRLF.
type AppendFields func(dst []byte, a *exchange.Answer) []byte

// isUTF8 reports whether all texts are UTF-8. Hosts of earlier builds end a link on which they
// get another one.
func isUTF8(texts ...string) bool {
	for _, text := range texts {
		if !utf8.ValidString(text) {
			return false
		}
	}
	return true
}

// isUTF8 reports whether any host can read the request.
func (s *passedRequest) isUTF8() bool { return isUTF8(s.RequestID, s.Method, s.Host, s.URI) }

// encodable returns the answer with all texts in UTF-8. Signatures that are not become header
// lines, which are passed on as bytes.
func encodable(a *exchange.Answer, appendFields AppendFields) *exchange.Answer {
	if isUTF8(a.Signatures...) && (a.Relayed == nil || isUTF8(a.Relayed.Signature)) {
		return a
	}
	body := a.Body
	if a.Relayed != nil {
		body = a.Relayed.Body
	}
	sent := *a
	sent.Signatures, sent.Body = nil, nil
	sent.Relayed = &exchange.Reply{Status: a.Status, Forward: appendFields(nil, a), Body: body}
	return &sent
}
