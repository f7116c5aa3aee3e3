package gatherlink

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/rawserver"
)

// sentToClosed is what a server may have sent of a head when its connection closes: the kernel's
// buffers, which do not grow on a connection that is hardly read.
const sentToClosed = 16 << 20

// TestEndlessHeadOpensNoLink guards against a handshake that is read until the host has no memory.
func TestEndlessHeadOpensNoLink(t *testing.T) {
	server, err := rawserver.StartEndlessHead()
	require.NoError(t, err)
	t.Cleanup(server.Close)
	log, _ := test.NewNullLogger()
	_, err = dialLink(server.Addr(), log)
	require.Error(t, err)
	require.Less(t, server.Sent(), int64(sentToClosed))
}

// TestEndlessMessageEndsTheLink guards against a message that is read until the host has no memory.
func TestEndlessMessageEndsTheLink(t *testing.T) {
	server, err := rawserver.StartEndlessMessage()
	require.NoError(t, err)
	t.Cleanup(server.Close)
	log, _ := test.NewNullLogger()
	l, err := dialLink(server.Addr(), log)
	require.NoError(t, err)
	require.Eventually(t, l.isEnded, 10*time.Second, time.Millisecond)
	require.Less(t, server.Sent(), maxFrameBytes+rawserver.KernelBytes())
}
