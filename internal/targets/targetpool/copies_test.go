package targetpool

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// plainCodec reads replies without a request id: a line with an optional signature.
type plainCodec struct{}

func (plainCodec) AppendRequest(dst []byte, r *exchange.Request, _ string, _ time.Duration) []byte {
	return append(append(dst, r.ID...), '\n')
}

func (plainCodec) ReadReply(in *bufio.Reader, _ bool) (*exchange.Reply, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return nil, err
	}
	signature := strings.TrimSuffix(line, "\n")
	if signature == "refused" {
		return &exchange.Reply{Status: 503, NotRun: true}, nil
	}
	return &exchange.Reply{Status: 200, Signature: signature}, nil
}

// scriptDialer connects to targets that answer each request by a function of the
// request's id and the writer to the host.
type scriptDialer struct {
	answer func(id string, to io.Writer)
	mu     sync.Mutex
	dials  int
}

func (d *scriptDialer) Dial(string, time.Duration) (net.Conn, error) {
	d.mu.Lock()
	d.dials++
	d.mu.Unlock()
	near, far := net.Pipe()
	go func() {
		requests := bufio.NewReader(far)
		for {
			id, err := requests.ReadString('\n')
			if err != nil {
				return
			}
			d.answer(strings.TrimSuffix(id, "\n"), far)
		}
	}()
	return near, nil
}

// ask submits a request and returns its outcome.
func ask(p *Pool, id string) Outcome {
	done := make(chan Outcome, 1)
	deadline := time.Now().Add(time.Second)
	p.Submit(&Call{
		Request: &exchange.Request{ID: id}, Deadline: deadline, OnTime: deadline, Expected: echoTime,
		Done: func(o Outcome) { done <- o },
	})
	return <-done
}

func scriptPool(d *scriptDialer) *Pool {
	p := NewPool(&catalog.Target{ID: "t-1", Addr: "t-1"}, &Options{Codec: plainCodec{}, Dialer: d, Log: discardLogger()})
	p.Resize(1, 1)
	return p
}

// TestLateCopyOfReplyWithoutIDIsDropped guards against a second copy of a reply that
// arrives while the connection carries the next request and names no request id: the
// next caller would get an answer that is not its own.
func TestLateCopyOfReplyWithoutIDIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &scriptDialer{answer: func(id string, to io.Writer) {
			if id == "second" {
				_, _ = io.WriteString(to, "signed-first\n")
			}
			// A reply that comes before the request is written completely ends the
			// connection.
			time.Sleep(echoTime)
			_, _ = io.WriteString(to, "signed-"+id+"\n")
		}}
		p := scriptPool(d)
		require.Equal(t, "signed-first", ask(p, "first").Reply.Signature)
		require.Equal(t, "signed-second", ask(p, "second").Reply.Signature)
		require.Equal(t, "signed-second", ask(p, "second").Reply.Signature, "the same request may be answered twice")
		require.Equal(t, 1, d.dials)
		p.Close()
	})
}

// TestConnectionEndsAfterReplyThatNamesNoRequest guards against a late copy of a refusal
// without id and signature: the next request would be told that it has not run.
func TestConnectionEndsAfterReplyThatNamesNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &scriptDialer{answer: func(id string, to io.Writer) {
			if id == "first" {
				_, _ = io.WriteString(to, "refused\n")
				// The copy comes late, once the connection would be in use again.
				time.Sleep(10 * echoTime)
				_, _ = io.WriteString(to, "refused\n")
				return
			}
			time.Sleep(20 * echoTime)
			_, _ = io.WriteString(to, "signed-"+id+"\n")
		}}
		p := scriptPool(d)
		require.Equal(t, verdict.NotRun, ask(p, "first").Verdict)
		second := ask(p, "second")
		require.Equal(t, verdict.Ran, second.Verdict)
		require.Equal(t, "signed-second", second.Reply.Signature)
		p.Close()
	})
}
