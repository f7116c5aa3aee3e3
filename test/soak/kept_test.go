package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/swiftvane/swiftvane/internal/standin/deployment"
	"github.com/swiftvane/swiftvane/platform"
)

const (
	// usualWork is the longest time that most single requests take at a target. longShare of
	// them, in percent, take up to longestWork.
	usualWork   = 300 * time.Millisecond
	longShare   = 30
	longestWork = 4800 * time.Millisecond
	// thinkTime is the longest time between an answer and the next request of a caller, and
	// longThinkTime that of every other caller, whose requests come late in a stop.
	thinkTime     = 400 * time.Millisecond
	longThinkTime = 3 * time.Second
	// redialWait is the time after a refused connection.
	redialWait = 20 * time.Millisecond
)

// keptExchange is one request on a connection that is kept for the next.
type keptExchange struct {
	id, host string
	sent     time.Time
	took     time.Duration
	status   int
	// err is set if there was no complete answer.
	err error
	// closes is set if the host closes the connection after the answer.
	closes bool
}

// workOf returns the time that a request takes at a target, which its id ends with.
func workOf(id string) time.Duration {
	_, ms, _ := strings.Cut(id, "-ms")
	n, err := strconv.Atoi(ms)
	if err != nil {
		return work
	}
	return time.Duration(n) * time.Millisecond
}

// call sends requests on one connection after the other until done is closed. It uses each until
// its host closes it.
func (s *stops) call(k int, done <-chan struct{}) {
	think := thinkTime
	if k%2 == 1 {
		think = longThinkTime
	}
	for n := 0; !isClosed(done); {
		h := s.balancer.choose(s.pick)
		conn, err := net.DialTimeout("tcp", h.caller, time.Second)
		if err != nil {
			time.Sleep(redialWait)
			continue
		}
		reader := bufio.NewReader(conn)
		for open := true; open && !isClosed(done); n++ {
			x := keptExchange{id: s.newID(k, n), host: h.name, sent: time.Now()}
			x.err = x.run(conn, reader)
			x.took = time.Since(x.sent)
			s.record(x)
			open = x.err == nil && !x.closes
			time.Sleep(s.between(0, think))
		}
		_ = conn.Close()
	}
}

func (s *stops) record(x keptExchange) {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	s.exchanges = append(s.exchanges, x)
}

// newID returns the id of a caller's next request: its route, a number and the time it takes.
func (s *stops) newID(k, n int) string {
	route := []string{"read", "order", "read", "sweep"}[s.pick(4)]
	takes := s.between(usualWork/5, usualWork)
	switch {
	case route == "sweep":
		takes = work
	case s.pick(100) < longShare:
		takes = s.between(0, longestWork)
	}
	return fmt.Sprintf("%s-%d-%d-ms%d", route, k, n, takes.Milliseconds())
}

// run sends the request and reads its answer.
func (x *keptExchange) run(conn net.Conn, reader *bufio.Reader) error {
	if err := conn.SetDeadline(time.Now().Add(2 * keptTimeout)); err != nil {
		return err
	}
	route, _, _ := strings.Cut(x.id, "-")
	_, err := fmt.Fprintf(conn, "GET /%s/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", route, deployment.HostName,
		platform.HeaderRequestID, x.id, platform.HeaderDeadline, keptTimeout.Milliseconds())
	if err != nil {
		return err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	x.status, x.closes = resp.StatusCode, resp.Close
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
