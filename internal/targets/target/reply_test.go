package target

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/bounds"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// FuzzReply checks that a reply is accepted only if it answers exactly the items of
// the request, in order.
func FuzzReply(f *testing.F) {
	requestItems := []SearchItem{{ExchangeID: 7}, {ExchangeID: 9}}
	for _, reply := range [][]AnswerItem{
		{{ExchangeID: 7, Status: StatusOK}, {ExchangeID: 9, Status: StatusRefused, Reason: verdict.TargetShed}},
		{{ExchangeID: 9, Status: StatusOK}, {ExchangeID: 7, Status: StatusOK}},
		{{ExchangeID: 7, Status: StatusOK}},
		{{ExchangeID: 7}, {ExchangeID: 9}},
	} {
		body, err := Encode(reply)
		require.NoError(f, err)
		f.Add(body)
		f.Add(body[:len(body)/2])
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		conn := &httpConn{items: requestItems}
		conn.body = body
		failure := conn.checkReply()
		if failure != nil {
			require.Equal(t, verdict.Unknown, failure.Verdict)
			require.Contains(t, []verdict.Reason{verdict.ReplyMismatch, verdict.ReplyTruncated}, failure.Reason)
			return
		}
		require.Len(t, conn.reply, len(requestItems))
		for i := range requestItems {
			require.Equal(t, requestItems[i].ExchangeID, conn.reply[i].ExchangeID)
			answer := toAnswer(&conn.reply[i], 0)
			require.Equal(t, conn.reply[i].Status == StatusOK, answer.OK())
			require.NotEqual(t, verdict.Unknown, answer.Verdict)
		}
	})
}

// TestReplyIsNotDecodedOverPreviousOne guards against null items in a reply, which
// the decoder skips, keeping the answers of the previous reply in the reused slice.
func TestReplyIsNotDecodedOverPreviousOne(t *testing.T) {
	conn := &httpConn{items: []SearchItem{{ExchangeID: 7}, {ExchangeID: 9}}}
	body, err := Encode([]AnswerItem{
		{ExchangeID: 7, Status: StatusOK, Body: []byte("first")},
		{ExchangeID: 9, Status: StatusOK, Body: []byte("second")},
	})
	require.NoError(t, err)
	conn.body = body
	require.Nil(t, conn.checkReply())
	conn.resetItems()

	nulls, err := Encode([]any{nil, nil})
	require.NoError(t, err)
	conn.items = []SearchItem{{ExchangeID: 7}, {ExchangeID: 9}}
	conn.body = nulls
	failure := conn.checkReply()
	require.NotNil(t, failure, "a null item is not an answer")
	require.Equal(t, verdict.ReplyMismatch, failure.Reason)
}

// TestMessageWithoutUTF8CostsNoOtherAnswer guards against a target that quotes a caller's bytes in a
// message, so that the answers to all callers in the same exchange are lost.
func TestMessageWithoutUTF8CostsNoOtherAnswer(t *testing.T) {
	body, err := Encode([]AnswerItem{
		{ExchangeID: 7, Status: StatusRefused, Reason: verdict.BadRequest, Message: "bad body \"\xe9\xff\""},
		{ExchangeID: 9, Status: StatusOK, Body: []byte("records")},
	})
	require.NoError(t, err)
	conn := &httpConn{items: []SearchItem{{ExchangeID: 7}, {ExchangeID: 9}}, body: body}
	require.Nil(t, conn.checkReply())
	refused, sound := toAnswer(&conn.reply[0], 0), toAnswer(&conn.reply[1], 0)
	require.Equal(t, verdict.BadRequest, refused.Reason)
	require.Equal(t, "bad body \"\ufffd\"", refused.Message)
	require.True(t, sound.OK())
	require.Equal(t, "records", string(sound.Body))
}

// TestNumbersOfAnswerStayInBounds guards against a target that seems idle since the sum of its counts wraps
// around, and against negative times.
func TestNumbersOfAnswerStayInBounds(t *testing.T) {
	for _, n := range []int64{math.MinInt64, -1, 1 << 62, math.MaxInt64} {
		answer := toAnswer(&AnswerItem{RetryAfterMS: n, Load: subquery.Load{Inflight: int(n), Queued: int(n)}}, 0)
		require.Equal(t, bounds.Period(n, time.Millisecond), answer.RetryAfter)
		require.GreaterOrEqual(t, answer.Load.Inflight+answer.Load.Queued, 0)
		answer = &subquery.Answer{RetryAfter: time.Duration(n), Waited: time.Duration(n), Took: time.Duration(n), Load: subquery.Load{Inflight: int(n), Queued: int(n)}}
		answer.Bound()
		for _, d := range []time.Duration{answer.RetryAfter, answer.Waited, answer.Took} {
			require.Equal(t, bounds.Period(n, time.Nanosecond), d)
		}
		require.GreaterOrEqual(t, answer.Load.Inflight+answer.Load.Queued, 0)
	}
}
