package soak

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/deployment"
	"github.com/swiftvane/swiftvane/internal/standin/rawserver"
	"github.com/swiftvane/swiftvane/internal/standin/searcher"
	"github.com/swiftvane/swiftvane/platform"
	"github.com/swiftvane/swiftvane/test/harness"
)

const (
	// brokenPrefix begins the ids of requests whose replies have broken heads.
	brokenPrefix = "broken-"
	// otherBytes are no UTF-8, but valid in the value of a field.
	otherBytes = "\xe9\xff"
	// gatheringHosts is the size of a fleet with gatherers, and gatheringConns the connections
	// that a target then takes, too few for all hosts.
	gatheringHosts = 17
	gatheringConns = 12
	// landedHosts is the number of hosts that run the last landed build beside this one.
	landedHosts = 8
	// brokenPause is the pause after each request with a broken reply.
	brokenPause = 30 * time.Millisecond
	// brokenLasts is how long a run in CI lasts.
	brokenLasts = 3 * time.Second
)

// TestBrokenHeadsCostNoOtherRequest guards against replies with broken heads, and requests with
// unusual bytes, that end a host's process or what other requests share with them.
func TestBrokenHeadsCostNoOtherRequest(t *testing.T) {
	t.Run("small fleet", func(t *testing.T) { runBrokenHeads(t, 1, 3, 0, brokenLasts) })
	t.Run("fleet with gatherers", func(t *testing.T) { runBrokenHeads(t, 1, gatheringHosts, 0, brokenLasts) })
	t.Run("fleet with the last landed build", func(t *testing.T) { runBrokenHeads(t, 1, gatheringHosts, landedHosts, brokenLasts) })
}

// TestBrokenHeadsCostNoOtherRequestForFreshSeeds is the same for as many seeds as -soak.runs asks for.
func TestBrokenHeadsCostNoOtherRequestForFreshSeeds(t *testing.T) {
	for i := range *freshRuns {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runBrokenHeads(t, seed, *hostCount, int(seed%2)**hostCount/2, *faultPeriod) })
	}
}

// runBrokenHeads lets callers send requests whose replies have broken heads beside sound ones,
// and requires that each sound one succeeds. landed is the number of hosts that run the last landed
// build, whose own callers are not covered.
func runBrokenHeads(t *testing.T, seed uint64, hosts, landed int, lasts time.Duration) {
	if landed > 0 {
		harness.BuildLandedDaemon(t)
	}
	e := newEnvironment(t, seed)
	e.measured = true
	e.startPlatform(deployment.Options{
		Attempts: 3, Work: work, Timeout: timeout, MaxConns: gatheringConns,
		Raw: func(id, requestID, signature string) ([]byte, bool) {
			return brokenHead(seed, id, requestID, signature), true
		},
	}, singles)
	e.addHosts(hosts)
	for _, h := range e.hosts[:landed] {
		h.kill()
		h.setLanded(true)
		h.start()
	}
	harness.Eventually(t, "all hosts are ready", e.allReady)
	e.awaitRecovery("start")
	done := make(chan struct{})
	var breaking sync.WaitGroup
	passedOn := make([]int, 3)
	for i, route := range []string{"sweep", "read", "order"} {
		breaking.Go(func() { passedOn[i] = e.sendBroken(route, done) })
	}
	stop := e.startCallers()
	time.Sleep(lasts)
	stop()
	close(done)
	breaking.Wait()
	require.Empty(t, e.failures())
	require.NotContains(t, passedOn, 0, "answers with unusual signatures, by route")
	e.check()
}

// failures describes the attempts that got no success. An unsafe request may fail if the target closes
// its connection, which some of the heads don't announce.
func (e *environment) failures() []string {
	var failed []string
	for _, a := range e.log.attempts {
		closed := a.route == "order" && a.status == http.StatusBadGateway
		if !a.host.landed && (a.err != nil || a.status != http.StatusOK && !closed) {
			failed = append(failed, fmt.Sprintf("%s: status %d, error %v", a.id, a.status, a.err))
		}
	}
	return failed
}

// brokenHead returns a searcher's reply with random errors in its head, or with bytes in it that
// are no UTF-8; none for other requests.
func brokenHead(seed uint64, id, requestID, signature string) []byte {
	if !strings.HasPrefix(requestID, brokenPrefix) {
		return nil
	}
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, id+requestID)
	random := rand.New(rand.NewPCG(seed, sum.Sum64()))
	service := id[:strings.Index(id, "-start-")]
	service = service[:strings.LastIndexByte(service, '-')]
	body := searcher.Records(service, requestID, nil, records)
	unusual := random.IntN(2) == 0
	if unusual {
		signature += otherBytes
	}
	reply := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		platform.HeaderRequestID, requestID, platform.HeaderSignature, signature, len(body), body)
	if unusual {
		return reply
	}
	return rawserver.Mutate(reply, random)
}

// sendBroken sends requests of a route whose replies have broken heads until done is closed. Each
// must be answered on its connection. It returns how many answers have a signature with otherBytes.
func (e *environment) sendBroken(route string, done <-chan struct{}) (passedOn int) {
	for n := 0; !isClosed(done); n++ {
		path := "/" + route + "/x"
		if n%2 == 0 {
			path += otherBytes
		}
		header, err := e.sendRaw(e.anyHost(), path, fmt.Sprintf("%s%s-%d", brokenPrefix, route, n))
		if err != nil {
			e.t.Errorf("%s %d: %v", route, n, err)
			return passedOn
		}
		if strings.Contains(header.Get(platform.HeaderSignature)+header.Get(platform.HeaderPartSignatures), otherBytes) {
			passedOn++
		}
		time.Sleep(brokenPause)
	}
	return passedOn
}

// sendRaw sends a request whose path is not encoded, reads the answer and returns its header.
func (e *environment) sendRaw(h *host, path, id string) (http.Header, error) {
	conn, err := net.DialTimeout("tcp", h.caller, clientTimeout)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", path, deployment.HostName,
		platform.HeaderRequestID, id, platform.HeaderDeadline, callerDeadline.Milliseconds())
	if err != nil {
		return nil, err
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.Header, err
}
