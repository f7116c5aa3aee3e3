package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/querypath/query"
	"github.com/swiftvane/swiftvane/internal/standin/cluster"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/support/loopback"
)

// standinServicesEnv makes the test binary run stand-ins with this number of
// services instead of tests, so that their processor time is not attributed to the
// benchmark.
const standinServicesEnv = "SWIFTVANE_BENCH_SERVICES"

func TestMain(m *testing.M) {
	if services := os.Getenv(standinServicesEnv); services != "" {
		runStandins(services)
		return
	}
	os.Exit(m.Run())
}

// runStandins starts stand-ins, writes their document to standard output and
// serves until standard input is closed.
func runStandins(services string) {
	var n int
	if _, err := fmt.Sscan(services, &n); err != nil {
		panic(err)
	}
	standins, err := cluster.Start(cluster.Options{Shapes: []fixture.Shape{fixture.Generic("sweep", n, 1)}})
	if err != nil {
		panic(err)
	}
	defer standins.Close()
	if err := json.NewEncoder(os.Stdout).Encode(standins.Platform.Document()); err != nil {
		panic(err)
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// startStandinProcess starts stand-ins in a separate process and returns the fleet
// that they publish. The process ends with the benchmark.
func startStandinProcess(b *testing.B, services int) *config.Fleet {
	b.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", standinServicesEnv, services))
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = stdin.Close()
		_ = cmd.Wait()
	})
	doc := new(config.Document)
	if err := json.NewDecoder(stdout).Decode(doc); err != nil {
		b.Fatal(err)
	}
	fleet, err := config.Parse(doc)
	if err != nil {
		b.Fatal(err)
	}
	return fleet
}

// BenchmarkWideQuery reports the processor time of entry and dispatch per sub-request, by
// the number of shards and of concurrent queries. The stand-ins run in another
// process.
func BenchmarkWideQuery(b *testing.B) {
	for _, shards := range []int{100, 350, 700, 1400} {
		for _, parallel := range []int{1, 4} {
			b.Run(fmt.Sprintf("shards=%d/queries=%d", shards, parallel), func(b *testing.B) {
				benchmarkWide(b, shards, parallel)
			})
		}
	}
}

func benchmarkWide(b *testing.B, shards, parallel int) {
	fleet := startStandinProcess(b, shards)
	hosts := fixture.Hosts(loopback.Addrs(1)...)
	host, err := startCoreHost(b.Context(), fleet, hosts, &hosts.Hosts[0], false)
	if err != nil {
		b.Fatal(err)
	}
	defer host.close()
	execute := func(n int) error {
		answer, failure := host.executor.Execute(b.Context(), &query.Request{
			RequestID: fmt.Sprint(n), Caller: "bench", Workload: "sweep", Body: []byte(`{"sweep":true}`),
			Deadline: time.Now().Add(9 * time.Second), Idempotent: true,
		})
		if failure != nil {
			return failure
		}
		if covered := len(answer.Coverage.Answered); covered != shards {
			return fmt.Errorf("%d of %d shards answered", covered, shards)
		}
		return nil
	}
	for n := range 3 { // opens the connections before the measurement
		if err := execute(n); err != nil {
			b.Fatal(err)
		}
	}
	before := processorTime()
	queries := 0
	errs := make(chan error, parallel)
	for b.Loop() {
		for n := range parallel {
			go func() { errs <- execute(queries + n) }()
		}
		for range parallel {
			if err := <-errs; err != nil {
				b.Fatal(err)
			}
		}
		queries += parallel
	}
	used := processorTime() - before
	b.ReportMetric(float64(used.Nanoseconds())/1000/float64(queries*shards), "cpu-us/subrequest")
	b.ReportMetric(b.Elapsed().Seconds()*1000/float64(queries), "ms/query")
}
