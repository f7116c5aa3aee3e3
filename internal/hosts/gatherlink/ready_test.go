package gatherlink

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// TestReadyAnswerOfGathererIsDelivered guards against an answer that is dropped because the
// request is withdrawn, or its time is over, when the host comes to it.
func TestReadyAnswerOfGathererIsDelivered(t *testing.T) {
	c := newClient(t)
	gone := make(chan struct{})
	close(gone)
	for range 100 {
		for _, callerGone := range []chan struct{}{gone, nil} {
			outcomes := make(chan outcome, 2)
			outcomes <- outcome{kind: kindAccepted}
			outcomes <- outcome{kind: kindAnswer, answer: answerOf(&exchange.Answer{Status: 200})}
			p := newPassage(c, request("r-1"), route(), always, callerGone)
			p.final = time.Now()
			a := &attempt{passage: p, link: &link{pending: map[uint64]chan outcome{}}, outcomes: outcomes}
			answer := a.wait(0)
			require.NotNil(t, answer)
			require.Equal(t, 200, answer.Status)
		}
	}
}
