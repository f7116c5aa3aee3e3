package integration

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/standin/target"
	"github.com/swiftvane/swiftvane/test/harness"
)

// TestBrokenReplyOfTargetIsNoAnswer makes the targets of one shard send replies that the protocol
// forbids. It guards against callers that get what such a reply holds as an answer.
func TestBrokenReplyOfTargetIsNoAnswer(t *testing.T) {
	f := harness.Start(t, harness.Options{Shape: fixture.DiffReview(), Hosts: 1})
	awaitCompleteAnswer(t, f, f.Hosts[0])
	for _, begin := range []target.Faults{
		{StatusLine: "HTTP/1.1 000 OK"},
		{StatusLine: "HTTP/1.1 200 O\x01K"},
		{StatusLine: "HTTP/1.1 200 OK", FieldLines: "A b: c\r\n"},
		{StatusLine: "HTTP/1.1 200 OK", FieldLines: "A : c\r\n"},
	} {
		begin.Reply, begin.ReplyShare = target.ReplyRaw, 1
		for replica := range 2 {
			f.Target(t, f.Shape.Target(0, replica)).SetFaults(t, begin)
		}
		for n := range 5 {
			body := harness.Body(n)
			answer, err := f.Hosts[0].Ask(t, f.Shape.Workload, body)
			require.NoError(t, err)
			require.NoError(t, f.Verify(body, answer))
			require.Len(t, answer.Coverage.Missing, 1, "%q", begin.StatusLine+begin.FieldLines)
			require.Equal(t, f.Shape.Shard(0), answer.Coverage.Missing[0].Shard)
		}
	}
	for replica := range 2 {
		f.Target(t, f.Shape.Target(0, replica)).SetFaults(t, target.Faults{Reply: target.ReplyDelayed})
	}
	awaitCompleteAnswer(t, f, f.Hosts[0])
}
