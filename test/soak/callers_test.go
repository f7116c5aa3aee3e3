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
	// pause is the time between two requests of a caller.
	pause = 4 * time.Millisecond
	// pauseAfterFailure is the same after a request without a success.
	pauseAfterFailure = 40 * time.Millisecond
	// timeout is that of the routes, patience what callers state.
	timeout  = 1500 * time.Millisecond
	patience = 2 * time.Second
	// waiting bounds a caller's wait whatever happens.
	waiting = 10 * time.Second
)

// attempt is one request of a caller and what became of it.
type attempt struct {
	id     string
	route  string
	status int
	header http.Header
	body   []byte
	err    error
}

// ledger holds all attempts.
type ledger struct {
	mu       sync.Mutex
	attempts []attempt
}

func (l *ledger) add(a attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

// startCallers lets callers send until the returned function is called.
func (w *world) startCallers() (stop func()) {
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
				a := w.ask(client, w.anyHost(), route, fmt.Sprintf("%s-%d-%d", route, k, i))
				w.ledger.add(a)
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
	return &http.Client{Timeout: waiting, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}}
}

// ask sends one request and reads the whole answer.
func (w *world) ask(client *http.Client, h *host, route, id string) attempt {
	a := attempt{id: id, route: route}
	req, err := http.NewRequest(http.MethodPost, "http://"+h.caller+"/"+route+"/x", bytes.NewReader(nil))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = deployment.HostName
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(patience.Milliseconds(), 10))
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
