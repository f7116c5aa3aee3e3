package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/deployment"
	"github.com/swiftvane/swiftvane/internal/wiring/edge"
	"github.com/swiftvane/swiftvane/platform"
	"github.com/swiftvane/swiftvane/test/harness"
)

const (
	// extremePrefix begins the ids of requests whose replies state extreme numbers; the index of the
	// reply follows.
	extremePrefix = "extreme-"
	// extremeLasts is how long extreme numbers are sent. Metrics are reported several times in it.
	extremeLasts = 4 * time.Second
	// extremePause is the pause after each request whose reply states one.
	extremePause = 20 * time.Millisecond
	// scrapeInterval is the time between two scrapes of a host's metrics.
	scrapeInterval = 250 * time.Millisecond
)

// TestReplyThatStatesHugeLengthCostsNoOtherRequest guards against a length that a target states and
// that ends the process where it is added to a counter.
func TestReplyThatStatesHugeLengthCostsNoOtherRequest(t *testing.T) {
	var heads []string
	for _, length := range []string{"9223372036854775807", "4611686018427387904", "99999999999999999999"} {
		heads = append(heads, "HTTP/1.1 200 OK\r\nContent-Length: "+length+"\r\n")
	}
	e := newExtremeEnvironment(t, heads)
	e.runBeside(func(done <-chan struct{}) {
		for n := 0; !isClosed(done); n++ {
			e.askForExtreme(n%len(heads), n)
			time.Sleep(extremePause)
		}
	})
	require.Empty(t, e.failures())
}

// newExtremeEnvironment returns hosts whose requests with extremePrefix get replies with the given
// heads, each a status line and fields. All else of the replies is sound.
func newExtremeEnvironment(t *testing.T, heads []string) *environment {
	e := newEnvironment(t, 1)
	e.measured = true
	e.startPlatform(deployment.Options{
		Attempts: 3, Work: work, Timeout: timeout,
		Raw: func(_, requestID, signature string) ([]byte, bool) {
			number, extreme := strings.CutPrefix(requestID, extremePrefix)
			if !extreme {
				return nil, false
			}
			number, _, _ = strings.Cut(number, "-")
			i, err := strconv.Atoi(number)
			require.NoError(t, err)
			return fmt.Appendf(nil, "%s%s: %s\r\n%s: %s\r\n\r\n", heads[i], platform.HeaderRequestID, requestID, platform.HeaderSignature, signature), false
		},
	}, singles)
	e.addHosts(readers)
	harness.Eventually(t, "all hosts are ready", e.allReady)
	e.awaitRecovery("start")
	return e
}

// askForExtreme sends a request of each route whose replies have the head of the given index. Each must
// be answered on its connection.
func (e *environment) askForExtreme(head, n int) {
	for _, route := range []string{"sweep", "read", "order"} {
		id := fmt.Sprintf("%s%d-%s-%d", extremePrefix, head, route, n)
		if _, err := e.sendRaw(e.anyHost(), "/"+route+"/x", id); err != nil {
			e.t.Errorf("%s: %v", id, err)
		}
	}
}

// runBeside calls send beside callers with sound requests and scrapers of all hosts' metrics, for
// extremeLasts and until it returns. After that each host must serve and stop in order.
func (e *environment) runBeside(send func(done <-chan struct{})) {
	done := make(chan struct{})
	var beside sync.WaitGroup
	beside.Go(func() { send(done) })
	for _, h := range e.hosts {
		beside.Go(func() { h.scrape(done) })
	}
	stop := e.startCallers()
	time.Sleep(extremeLasts)
	close(done)
	beside.Wait()
	stop()
	e.check()
	for _, h := range e.hosts {
		h.terminate()
	}
}

// scrape reads the host's metrics until done is closed.
func (h *host) scrape(done <-chan struct{}) {
	for !isClosed(done) {
		if _, err := h.metrics(); err != nil {
			h.env.t.Errorf("metrics of %s: %v", h.name, err)
			return
		}
		time.Sleep(scrapeInterval)
	}
}

// metrics returns the host's metrics as a scraper receives them.
func (h *host) metrics() (string, error) {
	ip, _, err := net.SplitHostPort(h.caller)
	if err != nil {
		return "", err
	}
	answer, err := http.Get("http://" + net.JoinHostPort(ip, metricsPort) + edge.MetricsPath)
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}
