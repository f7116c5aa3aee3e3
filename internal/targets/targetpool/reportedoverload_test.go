package targetpool

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/standin/echo"
)

// reportingDialer connects to one target with slots, whose replies state its load.
type reportingDialer struct {
	slots   chan struct{}
	waiting *atomic.Int64
}

func (d reportingDialer) Dial(string, time.Duration) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		lines := bufio.NewReader(far)
		for {
			line, err := lines.ReadString('\n')
			if err != nil {
				return
			}
			d.waiting.Add(1)
			d.slots <- struct{}{}
			d.waiting.Add(-1)
			time.Sleep(overloadWork)
			<-d.slots
			reply := fmt.Sprintf("%s %d %d\n", strings.TrimSpace(line), len(d.slots), d.waiting.Load())
			if _, err := far.Write([]byte(reply)); err != nil {
				return
			}
		}
	}()
	return near, nil
}

// reportingCodec reads the replies of a reportingDialer's target.
type reportingCodec struct{ echo.Codec }

func (reportingCodec) ReadReply(in *bufio.Reader, _ bool) (*exchange.Reply, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return nil, err
	}
	reply := &exchange.Reply{Status: 200, Signature: "echo", Load: exchange.Load{Slots: overloadSlots, Work: 1}}
	_, err = fmt.Sscanf(line, "%s %d %d", &reply.ID, &reply.Load.Running, &reply.Load.Waiting)
	return reply, err
}

// TestReportsDoNotLowerWhatOverloadedTargetServes guards against refusals by reports of queues
// that are worked off in time: the slots must stay as busy as without reports.
func TestReportsDoNotLowerWhatOverloadedTargetServes(t *testing.T) {
	var silent, reporting *overloadOutcome
	synctest.Test(t, func(*testing.T) { silent = playOverload(overloadWork) })
	synctest.Test(t, func(*testing.T) {
		dialer := reportingDialer{slots: make(chan struct{}, overloadSlots), waiting: &atomic.Int64{}}
		reporting = playOverloadOn(dialer, reportingCodec{}, overloadWork)
	})
	t.Logf("in time, late, refused: %d, %d, %d without reports, %d, %d, %d with",
		silent.inTime, silent.late, silent.refused, reporting.inTime, reporting.late, reporting.refused)
	require.GreaterOrEqual(t, reporting.inTime, silent.inTime*95/100)
	require.LessOrEqual(t, reporting.late, max(silent.late, silent.inTime/20))
}
