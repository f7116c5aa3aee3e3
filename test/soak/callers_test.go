package soak

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/swiftvane/swiftvane/internal/standin/deployment"
	"github.com/swiftvane/swiftvane/platform"
)

const (
	callers = 6
	// pause is a caller's wait before each request.
	pause = 4 * time.Millisecond
	// pauseAfterFailure is a caller's additional wait after a failed request.
	pauseAfterFailure = 40 * time.Millisecond
	// timeout is the timeout of the routes.
	timeout = 1500 * time.Millisecond
	// callerDeadline is the deadline that callers send with a request.
	callerDeadline = 2 * time.Second
	// clientTimeout bounds a caller's wait for an answer if the host enforces no deadline.
	clientTimeout = 10 * time.Second
)

// attempt is one request of a caller and its outcome.
type attempt struct {
	id     string
	host   *host
	route  string
	status int
	header http.Header
	body   []byte
	err    error
}

// attemptLog records all attempts.
type attemptLog struct {
	mu       sync.Mutex
	attempts []attempt
}

func (l *attemptLog) add(a attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

// startCallers starts callers that send requests until stop is called. stop waits for
// their outstanding answers.
func (e *environment) startCallers() (stop func()) {
	done := make(chan struct{})
	var all sync.WaitGroup
	for k := range callers {
		all.Go(func() {
			client := newClient()
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				case <-time.After(pause):
				}
				route := []string{"sweep", "read", "order"}[i%3]
				a := e.ask(client, e.anyHost(), route, fmt.Sprintf("%s-%d-%d", route, k, i))
				e.log.add(a)
				if a.status != http.StatusOK {
					time.Sleep(pauseAfterFailure)
				}
			}
		})
	}
	return func() {
		close(done)
		all.Wait()
	}
}

func newClient() *http.Client {
	return &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}}
}

// ask sends one request and reads the complete answer.
func (e *environment) ask(client *http.Client, h *host, route, id string) attempt {
	a := e.askPath(client, h, "/"+route+"/x", id)
	a.route = route
	return a
}

// askPath sends one request with a path and reads the complete answer.
func (e *environment) askPath(client *http.Client, h *host, path, id string) attempt {
	a := attempt{id: id, host: h}
	req, err := http.NewRequest(http.MethodPost, "http://"+h.caller+path, bytes.NewReader(nil))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = deployment.HostName
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.header = resp.StatusCode, resp.Header
	a.body, a.err = io.ReadAll(resp.Body)
	return a
}
