package gatherlink

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// TestBrokenAnswerOfHostReachesNoCaller guards against callers that get what another host, of an
// earlier build, took from a target against the protocol.
func TestBrokenAnswerOfHostReachesNoCaller(t *testing.T) {
	for name, broken := range map[string]exchange.Answer{
		"status 0":                 {Status: 0},
		"interim status":           {Status: 100},
		"status 600":               {Status: 600},
		"status of a reply":        {Status: 99, Relayed: &exchange.Reply{Signature: "s"}},
		"blank in a name":          {Status: 200, Relayed: &exchange.Reply{Signature: "s", Forward: []byte("A b: c\r\n")}},
		"control byte in a name":   {Status: 200, Relayed: &exchange.Reply{Signature: "s", Forward: []byte("A: b\r\nA\x01: c\r\n")}},
		"end of the head":          {Status: 200, Relayed: &exchange.Reply{Signature: "s", Forward: []byte("A: b\r\n\r\n")}},
		"length":                   {Status: 200, Relayed: &exchange.Reply{Signature: "s", Forward: []byte("Content-Length: 1\r\n")}},
		"line in a signature":      {Status: 200, Relayed: &exchange.Reply{Signature: "s\r\nA: b"}},
		"line in a part signature": {Status: 200, Signatures: []string{"s", "t\r\nA: b"}},
	} {
		t.Run(name, func(t *testing.T) {
			message := func(id uint64) []byte {
				return marshalFrame(t, &frame{Kind: kindAnswer, ID: id, Answer: answerOf(&broken)})
			}
			c := newClient(t, serveFrames(t, message))
			a := c.Sweep(request("r"), route(), func() bool { return false }, nil)
			require.Equal(t, &exchange.Answer{Status: 502, Reason: exchange.GathererLost}, a)
		})
	}
}
