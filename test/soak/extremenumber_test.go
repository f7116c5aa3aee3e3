package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"
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
	// numberMark stands for the extreme number in a reply.
	numberMark = "{n}"
	// extremeLasts is how long extreme numbers are sent. Metrics are reported several times in it.
	extremeLasts = 4 * time.Second
	// extremePause is the pause after each request whose reply states one.
	extremePause = 20 * time.Millisecond
	// scrapeInterval is the time between two scrapes of a host's metrics.
	scrapeInterval = 250 * time.Millisecond
)

// extremeReply is a reply to which the fields of a sound one are added.
type extremeReply struct {
	// head is the status line and fields, body what follows the head.
	head, body string
}

// replies returns a reply for each value, which takes the place of numberMark.
func replies(head, body string, values ...string) []extremeReply {
	return lo.Map(values, func(value string, _ int) extremeReply {
		return extremeReply{head: strings.ReplaceAll(head, numberMark, value), body: strings.ReplaceAll(body, numberMark, value)}
	})
}

// fields returns a reply with status 200 for each value of a field, without a body.
func fields(name string, values ...string) []extremeReply {
	return replies("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+name+": "+numberMark+"\r\n", "", values...)
}

// lengths returns a reply for each length.
func lengths(values ...string) []extremeReply {
	return replies("HTTP/1.1 200 OK\r\nContent-Length: "+numberMark+"\r\n", "", values...)
}

// chunks returns a reply for each size of a chunk.
func chunks(values ...string) []extremeReply {
	return replies("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", numberMark+"\r\n", values...)
}

// refusals returns a refusal for each Retry-After.
func refusals(values ...string) []extremeReply {
	head := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n" + platform.HeaderNotRun + ": 1\r\n"
	return replies(head+platform.HeaderRetryAfter+": "+numberMark+"\r\n", "", values...)
}

// Numbers at the ends of the types that may hold them.
const (
	maxInt64  = "9223372036854775807"
	minInt64  = "-9223372036854775808"
	maxUint64 = "18446744073709551615"
	// maxDigits is the longest decimal number that is read.
	maxDigits = "99999999999999999999999999999999"
	// leastDecimal is the least positive one.
	leastDecimal = "0.000000000000000000000000000001"
	maxFloat     = "1.7976931348623157e308"
)

// TestReplyThatStatesHugeLengthCostsNoOtherRequest guards against a length that a target states and
// that ends the process where it is added to a counter.
func TestReplyThatStatesHugeLengthCostsNoOtherRequest(t *testing.T) {
	e := newExtremeEnvironment(t, lengths(maxInt64, "4611686018427387904", "99999999999999999999"))
	e.runBeside(e.askForExtremes)
	require.Empty(t, e.failures())
	e.check()
	e.stopAll()
}

// TestExtremeNumberOfTargetCostsNoOtherRequest is the same for all numbers of a reply that don't ask for
// fewer requests.
func TestExtremeNumberOfTargetCostsNoOtherRequest(t *testing.T) {
	e := newExtremeEnvironment(t, slices.Concat(
		lengths(maxUint64, "18446744073709551616", "999999999999999999", "1073741824", "2147483648"),
		chunks("7fffffffffffffff", "8000000000000000", "ffffffffffffffff", "10000000000000000", "7fffffff", "80000000"),
		fields(platform.HeaderLoad, "0,0,100000,1", "0,0,1,1", maxInt64+","+maxInt64+","+maxInt64, "999999999,999999999,999999999,999999999", "-1,-1,-1"),
		fields(platform.HeaderLimit, maxDigits, maxInt64, maxInt64+".9", maxFloat, "1e32", "Inf", "NaN", "-1"),
		fields(platform.HeaderWarmup, "0", "-1", minInt64, "-"+maxFloat, "-Inf", "NaN"),
		fields("Keep-Alive", "timeout=999999999, max=999999999", "timeout="+maxInt64+", max="+maxInt64, "timeout="+maxDigits, "timeout=-1"),
		fields(platform.HeaderRetryAfter, maxDigits, maxFloat, "-1"),
	))
	e.runBeside(e.askForExtremes)
	require.Empty(t, e.failures())
	e.check()
	e.stopAll()
}

// TestExtremeNumberOfTargetThatAsksForLessEndsNoProcess is the same for numbers that ask for fewer
// requests, or for none for long. Other requests to the target may be refused then.
func TestExtremeNumberOfTargetThatAsksForLessEndsNoProcess(t *testing.T) {
	e := newExtremeEnvironment(t, slices.Concat(
		fields(platform.HeaderLoad, "1000000,1000000,1,100000", "1000000,1000000,100000,100000", "1000000,0,1"),
		fields(platform.HeaderLimit, "0", leastDecimal, "1", maxDigits),
		fields(platform.HeaderWarmup, maxInt64, maxUint64, maxFloat, "Inf", "3600000"),
		refusals(maxDigits, maxInt64, leastDecimal, "0", "1e32", "Inf", "NaN", "-1"),
	))
	e.publishWarmup()
	e.runBeside(e.askForExtremes)
	e.check()
	e.stopAll()
}

// publishWarmup publishes a configuration by which the targets' warm-up counts.
func (e *environment) publishWarmup() {
	config := e.platform.Config()
	for name, service := range config.Services {
		service.Warmup, service.WarmupPerSecond = time.Second, 1000
		config.Services[name] = service
	}
	require.NoError(e.t, e.platform.Publish(config))
}

// newExtremeEnvironment returns hosts whose requests with extremePrefix get the given replies.
func newExtremeEnvironment(t *testing.T, forms []extremeReply) *environment {
	e := newEnvironment(t, 1)
	e.measured, e.extremes = true, len(forms)
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
			reply := forms[i]
			return fmt.Appendf(nil, "%s%s: %s\r\n%s: %s\r\nConnection: close\r\n\r\n%s",
				reply.head, platform.HeaderRequestID, requestID, platform.HeaderSignature, signature, reply.body), true
		},
	}, singles)
	e.addHosts(readers)
	harness.Eventually(t, "all hosts are ready", e.allReady)
	e.awaitRecovery("start")
	return e
}

// askForExtremes sends requests that get the extreme replies in turn until done is closed.
func (e *environment) askForExtremes(done <-chan struct{}) {
	for n := 0; !isClosed(done); n++ {
		e.askForExtreme(n%e.extremes, n)
		time.Sleep(extremePause)
	}
}

// askForExtreme sends a request of each route that gets the extreme reply of the given index. Each must
// be answered on its connection.
func (e *environment) askForExtreme(reply, n int) {
	for _, route := range []string{"sweep", "read", "order"} {
		id := fmt.Sprintf("%s%d-%s-%d", extremePrefix, reply, route, n)
		if _, err := e.sendRaw(e.anyHost(), "/"+route+"/x", id); err != nil {
			e.t.Errorf("%s: %v", id, err)
		}
	}
}

// runBeside calls send beside callers with sound requests and scrapers of all hosts' metrics, for
// extremeLasts and until it returns. No process may end.
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
	e.checkProcesses()
}

// stopAll stops the hosts in order.
func (e *environment) stopAll() {
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
