package catalogshare

import (
	"testing"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/gathering"
	"github.com/swiftvane/swiftvane/internal/standin/rawserver"
)

// sentToClosed is what a server may have sent of a head when its connection closes: the kernel's
// buffers, which do not grow on a connection that is hardly read.
const sentToClosed = 16 << 20

// TestReaderThatSendsWithoutEndIsLeft guards against a handshake or a message that is read until
// the host has no memory.
func TestReaderThatSendsWithoutEndIsLeft(t *testing.T) {
	log, _ := test.NewNullLogger()
	head, err := rawserver.StartEndlessHead()
	require.NoError(t, err)
	t.Cleanup(head.Close)
	_, err = dial(head.Addr(), gathering.Member{}, false, log)
	require.Error(t, err)
	require.Less(t, head.Sent(), int64(sentToClosed))
	message, err := rawserver.StartEndlessMessage()
	require.NoError(t, err)
	t.Cleanup(message.Close)
	l, err := dial(message.Addr(), gathering.Member{}, false, log)
	require.NoError(t, err)
	for range l.messages {
	}
	require.Less(t, message.Sent(), maxMessageBytes+rawserver.KernelBytes())
}
