package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/ownership"
	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/view"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

const (
	// settleTime is the time for links to be established before a measurement.
	settleTime = 3 * time.Second
	// measureTime is the duration of a steady-state measurement.
	measureTime = 10 * time.Second
	// changes is the number of new revisions that are published.
	changes = 40
)

// usage holds the resources that a test fleet has used since its start.
type usage struct {
	cpu             time.Duration
	bytes, messages int64
	calls           int
}

func (f *testFleet) usage() usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	u := usage{cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano()), calls: f.platform.callCount()}
	for _, m := range f.members {
		u.bytes += m.counter("peer.bytes_sent", "")
		u.messages += m.counter("peer.messages_sent", "")
	}
	return u
}

func (p *fakePlatform) callCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// realIntervals sets the intervals that hosts use by default in production.
func realIntervals(o *Options, _ *peer.Options) {
	o.GossipInterval, o.WatchWait, o.PollInterval = DefaultGossipInterval, DefaultWatchWait, DefaultPollInterval
}

// BenchmarkControl measures the steady-state cost of the control plane per host,
// by fleet size. All members share this process and its processor time.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{10, 50, 200} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			before := heapBytes()
			f := newTestFleet(b, n, realIntervals)
			time.Sleep(settleTime)
			from := f.usage()
			time.Sleep(measureTime)
			to := f.usage()
			hostSeconds := float64(n) * measureTime.Seconds()
			b.ReportMetric(float64((to.cpu-from.cpu).Microseconds())/hostSeconds, "cpu-µs/host/s")
			b.ReportMetric(float64(to.bytes-from.bytes)/hostSeconds, "bytes/host/s")
			b.ReportMetric(float64(to.messages-from.messages)/hostSeconds, "msgs/host/s")
			b.ReportMetric(float64(heapBytes()-before)/float64(n)/1024, "KiB/host")
		})
	}
}

// platformTime covers several polls of a host that does not watch.
const platformTime = 70 * time.Second

// BenchmarkPlatformCalls measures the rate of the fleet's calls to the platform,
// by fleet size. A watch counts as one call.
func BenchmarkPlatformCalls(b *testing.B) {
	for _, n := range []int{10, 50, 200} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			f := newTestFleet(b, n, realIntervals)
			time.Sleep(settleTime)
			from := f.usage()
			time.Sleep(platformTime)
			calls := f.usage().calls - from.calls
			b.ReportMetric(float64(calls)/platformTime.Seconds(), "platform-calls/s")
		})
	}
}

// BenchmarkTimeToInForce measures the time from publishing a change until it is
// in force on all hosts, and its cost per host.
func BenchmarkTimeToInForce(b *testing.B) {
	for _, n := range []int{7, 50, 200} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			f := newTestFleet(b, n, realIntervals)
			time.Sleep(settleTime)
			from := f.usage()
			times := make([]time.Duration, 0, changes)
			for i := range changes {
				revision := model.Revision(11 + i)
				began := time.Now()
				f.platform.publish(testConfig(revision, int(revision), 20))
				f.awaitRevision(revision)
				times = append(times, time.Since(began))
			}
			to := f.usage()
			slices.Sort(times)
			perChange := float64(n * changes)
			b.ReportMetric(times[len(times)/2].Seconds()*1e3, "p50-ms")
			b.ReportMetric(times[len(times)*99/100].Seconds()*1e3, "p99-ms")
			b.ReportMetric(float64((to.cpu-from.cpu).Microseconds())/perChange, "cpu-µs/host/change")
			b.ReportMetric(float64(to.bytes-from.bytes)/perChange, "bytes/host/change")
		})
	}
}

func (f *testFleet) awaitRevision(revision model.Revision) {
	limit := time.Now().Add(waitTimeout)
	for _, m := range f.members {
		for m.revision() < revision {
			if time.Now().After(limit) {
				f.t.Fatalf("revision %d is not in force on %s", revision, m.host.ID)
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// BenchmarkDocumentOfDesignSize measures the memory of a host's configuration,
// host list and owners at 7,900 targets and 1,400 hosts, and the processor time
// of one change.
func BenchmarkDocumentOfDesignSize(b *testing.B) {
	const targets, hosts = 7900, 1400
	list := largeHostList(hosts)
	before := heapBytes()
	doc := testConfig(1, 1, targets)
	document := heapBytes()
	parsed, err := config.Parse(doc)
	if err != nil {
		b.Fatal(err)
	}
	typed := heapBytes()
	v := &view.View{Fleet: parsed, Hosts: list, Owners: ownership.Build(list.Hosts, parsed.Targets)}
	all := heapBytes()
	b.Run("memory", func(b *testing.B) {
		b.ReportMetric(float64(document-before)/1024, "KiB-document")
		b.ReportMetric(float64(typed-document)/1024, "KiB-parsed")
		b.ReportMetric(float64(all-typed)/1024, "KiB-view")
	})
	b.Run("whole", func(b *testing.B) { benchmarkChange(b, doc, parsed, false) })
	b.Run("delta", func(b *testing.B) { benchmarkChange(b, doc, parsed, true) })
	runtime.KeepAlive(v)
	runtime.KeepAlive(doc)
}

func largeHostList(hosts int) *model.HostList {
	list := &model.HostList{Revision: 1}
	for i := range hosts {
		h := hostOf(i, fmt.Sprintf("10.1.%d.%d:7000", i>>8, i&255))
		h.Region, h.FailureDomain = model.Region(fmt.Sprintf("r%d", i%7)), model.FailureDomain(fmt.Sprintf("d%d", i%18))
		list.Hosts = append(list.Hosts, h)
	}
	return list
}

// BenchmarkHostListOfDesignSize measures the memory of one host list of 1,400
// hosts, and the processor time of applying one change received as a delta and
// of recomputing the owners of 7,900 targets.
func BenchmarkHostListOfDesignSize(b *testing.B) {
	const targets, hosts, kept = 7900, 1400, 16
	parsed, err := config.Parse(testConfig(1, 1, targets))
	if err != nil {
		b.Fatal(err)
	}
	doc, err := documentOf(largeHostList(hosts))
	if err != nil {
		b.Fatal(err)
	}
	before := heapBytes()
	lists := make([]*model.HostList, kept)
	for i := range lists {
		lists[i], _ = hostListOf(doc)
	}
	each := float64(heapBytes()-before) / kept / 1024
	runtime.KeepAlive(lists)
	var list *model.HostList
	r := &replica{kind: hostListDocument, doc: doc, version: version{doc.Revision, config.Digest(doc.Keys)}}
	r.check = func(d *config.Document, _ uint64) (func(), error) {
		next, err := hostListOf(d)
		return func() { list = next }, err
	}
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		next := &config.Document{Revision: r.doc.Revision + 1, Keys: maps.Clone(r.doc.Keys)}
		delete(next.Keys, prefixHost+"host-7")
		if i%2 == 1 {
			next.Keys[prefixHost+"host-7"] = doc.Keys[prefixHost+"host-7"]
		}
		delta := config.Diff(r.doc, next)
		b.StartTimer()
		if result, _, err := r.apply(delta, "", time.Now()); result != accepted || err != nil {
			b.Fatal(result, err)
		}
		ownership.Build(list.Hosts, parsed.Targets)
	}
	b.ReportMetric(each, "KiB-list")
}

// benchmarkChange measures applying a change of one target, received as the
// whole document or as a delta.
func benchmarkChange(b *testing.B, doc *config.Document, parsed *config.Fleet, asDelta bool) {
	r := &replica{kind: configDocument, doc: doc, version: version{doc.Revision, parsed.Digest}}
	r.check = func(d *config.Document, digest uint64) (func(), error) {
		next, err := config.ParseIncremental(d, parsed, digest)
		return func() { parsed = next }, err
	}
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		next := &config.Document{Revision: r.doc.Revision + 1, Keys: maps.Clone(r.doc.Keys)}
		target := *parsed.Targets["target-7"]
		target.Slots = 2 + i%2
		next.Keys["targets/target-7"], _ = json.Marshal(&target)
		delta := config.Diff(r.doc, next)
		b.StartTimer()
		result, err := outcome(""), error(nil)
		if asDelta {
			result, _, err = r.apply(delta, "", time.Now())
		} else {
			result, err = r.offer(next, "", time.Now())
		}
		if result != accepted || err != nil {
			b.Fatal(result, err)
		}
	}
}
