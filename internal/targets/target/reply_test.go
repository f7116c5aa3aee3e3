package target

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// FuzzReply checks that a reply is used only if it answers exactly what was
// asked, in order.
func FuzzReply(f *testing.F) {
	asked := []SearchItem{{ExchangeID: 7}, {ExchangeID: 9}}
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
		conn := &httpConn{items: asked}
		conn.resp.SetBody(body)
		failure := conn.checkReply()
		if failure != nil {
			require.Equal(t, verdict.Unknown, failure.Verdict)
			require.Contains(t, []verdict.Reason{verdict.ReplyMismatch, verdict.ReplyTruncated}, failure.Reason)
			return
		}
		require.Len(t, conn.reply, len(asked))
		for i := range asked {
			require.Equal(t, asked[i].ExchangeID, conn.reply[i].ExchangeID)
			answer := toAnswer(&conn.reply[i], 0)
			require.Equal(t, conn.reply[i].Status == StatusOK, answer.OK())
			require.NotEqual(t, verdict.Unknown, answer.Verdict)
		}
	})
}

func TestNothingOfOneReplyIsLeftForTheNext(t *testing.T) {
	conn := &httpConn{items: []SearchItem{{ExchangeID: 7}, {ExchangeID: 9}}}
	body, err := Encode([]AnswerItem{
		{ExchangeID: 7, Status: StatusOK, Body: []byte("first")},
		{ExchangeID: 9, Status: StatusOK, Body: []byte("second")},
	})
	require.NoError(t, err)
	conn.resp.SetBody(body)
	require.Nil(t, conn.checkReply())
	conn.forget()

	nulls, err := Encode([]any{nil, nil})
	require.NoError(t, err)
	conn.items = []SearchItem{{ExchangeID: 7}, {ExchangeID: 9}}
	conn.resp.SetBody(nulls)
	failure := conn.checkReply()
	require.NotNil(t, failure, "a null is no answer")
	require.Equal(t, verdict.ReplyMismatch, failure.Reason)
}
