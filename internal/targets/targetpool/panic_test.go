package targetpool

import (
	"bufio"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/standin/echo"
	"github.com/swiftvane/swiftvane/internal/support/panics"
)

// panickingCodec is the echo codec with a fault: it panics while it checks the head of the reply to
// "head", or reads that to "body".
type panickingCodec struct{ echo.Codec }

func (panickingCodec) CheckHead(begin []byte) (bool, error) {
	if string(begin) == "head\n" {
		panic("index out of range")
	}
	return begin[len(begin)-1] == '\n', nil
}

func (c panickingCodec) ReadReply(in *bufio.Reader, bodyless bool) (*exchange.Reply, error) {
	if begin, _ := in.Peek(len("body")); string(begin) == "body" {
		panic("index out of range")
	}
	return c.Codec.ReadReply(in, bodyless)
}

// TestPanicOfCodecEndsOnlyItsConnection guards against one reply that ends the process, and with it
// the requests of all callers.
func TestPanicOfCodecEndsOnlyItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, hook := test.NewNullLogger()
		d := echoDialer{ended: make(chan time.Time, 8)}
		p := NewPool(&catalog.Target{ID: "t-1", Addr: "t-1"}, &Options{Codec: panickingCodec{}, Dialer: d, Log: log})
		p.Resize(2, 0)
		for _, id := range []string{"head", "body"} {
			done := make(chan Outcome, 1)
			deadline := time.Now().Add(time.Second)
			p.Submit(&Call{
				Request: &exchange.Request{ID: id}, Deadline: deadline, OnTime: deadline, Expected: echoTime,
				Done: func(o Outcome) { done <- o },
			})
			o := <-done
			require.True(t, panics.Is(o.Err), "%v", o.Err)
			require.Equal(t, verdict.Unknown, o.Verdict, "the request may have run")
			<-d.ended
			submitAndWait(t, p, "sound")
			time.Sleep(2 * time.Second)
		}
		require.Contains(t, hook.AllEntries()[0].Message, "reply was dropped")
		p.Close()
		time.Sleep(time.Minute)
	})
}
