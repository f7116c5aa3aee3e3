package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/deployment"
	"github.com/swiftvane/swiftvane/platform"
)

// extremeRequest is a request with an extreme number, and the statuses that may answer it.
type extremeRequest struct {
	fields, body string
	statuses     []int
}

// extremeRequests returns requests with the extreme values of all numbers of a request.
func extremeRequests() []extremeRequest {
	var requests []extremeRequest
	add := func(format string, body string, statuses []int, values ...string) {
		for _, value := range values {
			requests = append(requests, extremeRequest{fields: fmt.Sprintf(format, value), body: body, statuses: statuses})
		}
	}
	served := []int{http.StatusOK}
	tooLarge := []int{http.StatusRequestEntityTooLarge}
	malformed := []int{http.StatusBadRequest}
	add(platform.HeaderDeadline+": %s\r\n", "", served, maxInt64, maxUint64, maxDigits, maxFloat, "1e300", "9223372036855", "86400000")
	add(platform.HeaderDeadline+": %s\r\n", "", malformed, "NaN", "Inf", "+Inf", "-Inf", "1e400", "-1", minInt64)
	add("Content-Length: %s\r\n", "", tooLarge, maxInt64, "4611686018427387904", "1099511627776")
	add("Content-Length: %s\r\n", "", malformed, maxUint64, "99999999999999999999")
	add("Transfer-Encoding: chunked\r\n\r\n%s\r\n", "", append(tooLarge, malformed...), "7fffffffffffffff", "ffffffffffffffff", "fffffffffffffff", "7fffffff")
	add("Keep-Alive: timeout=%s, max=%[1]s\r\n", "", served, maxInt64, maxDigits)
	return requests
}

// TestExtremeNumberOfCallerCostsNoOtherRequest guards against a number in a request that ends the process
// or costs the caller its answer.
func TestExtremeNumberOfCallerCostsNoOtherRequest(t *testing.T) {
	e := newExtremeEnvironment(t, nil)
	e.runBeside(func(done <-chan struct{}) {
		for n := 0; !isClosed(done); n++ {
			for i, request := range extremeRequests() {
				for _, route := range []string{"sweep", "read", "order"} {
					id := fmt.Sprintf("%s-of-caller-%d-%d", route, n, i)
					status, err := e.sendExtreme(e.anyHost(), route, id, request)
					if err != nil || !slices.Contains(request.statuses, status) {
						t.Errorf("%s %q: status %d, error %v", route, request.fields, status, err)
					}
				}
			}
			time.Sleep(extremePause)
		}
	})
	require.Empty(t, e.failures())
	e.check()
	e.stopAll()
}

// sendExtreme sends a request on its own connection and returns the status of the answer.
func (e *environment) sendExtreme(h *host, route, id string, r extremeRequest) (int, error) {
	conn, err := net.DialTimeout("tcp", h.caller, clientTimeout)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	_, err = fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s\r\n%s", route, deployment.HostName, platform.HeaderRequestID, id, r.fields, r.body)
	if err != nil {
		return 0, err
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = answer.Body.Close() }()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}
