package edge

import (
	"sync"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
	"github.com/swiftvane/swiftvane/internal/decision/reach"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/hosts/gatherlink"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

const (
	// crashSettleTime is how long a crash report waits for the count of lost targets,
	// crashLinkTime how much longer for links to other hosts, if many are lost, and
	// crashAskTime for what these say.
	crashSettleTime = 300 * time.Millisecond
	crashLinkTime   = 400 * time.Millisecond
	crashAskTime    = 400 * time.Millisecond
	// crashNoticeTime is how long crashes are collected before other hosts are told of them: a
	// sweep may end many targets at once.
	crashNoticeTime = 10 * time.Millisecond
	// maxPendingCrashes bounds the reports that wait.
	maxPendingCrashes = 1024
)

// crashReports holds back reports of crashed targets until it is known whether this host has
// lost its links to them instead.
type crashReports struct {
	mu      sync.Mutex
	pending []*targetpool.Crash
	// noticed is the number of pending ones that other hosts were told of, and noticing is set
	// while that is about to happen.
	noticed  int
	noticing bool
}

// add adds a crash and reports whether it is the first of those that wait.
func (c *crashReports) add(crash *targetpool.Crash) (first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) < maxPendingCrashes {
		c.pending = append(c.pending, crash)
	}
	return len(c.pending) == 1
}

// beginNotice reports whether no notice to other hosts is on its way yet.
func (c *crashReports) beginNotice() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	begins := !c.noticing
	c.noticing = true
	return begins
}

// takeNotice returns the crashes that other hosts were not told of.
func (c *crashReports) takeNotice() []*targetpool.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noticing = false
	fresh := c.pending[c.noticed:]
	c.noticed = len(c.pending)
	return unanswered(fresh)
}

// take removes and returns the crashes that wait, without those whose request has been answered.
func (c *crashReports) take() []*targetpool.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := unanswered(c.pending)
	c.pending, c.noticed = nil, 0
	return waiting
}

// unanswered returns the crashes whose request no target has answered.
func unanswered(crashes []*targetpool.Crash) []*targetpool.Crash {
	return lo.Reject(crashes, func(c *targetpool.Crash, _ int) bool { return c.Answered() })
}

// holdCrash reports a crash unless it turns out that this host has lost its links, or that the
// request is answered. A host that knows no others can't tell.
func (e *Edge) holdCrash(crash *targetpool.Crash) {
	e.guard.Watch(crash.Request, string(crash.Target.Service), crash.Lost)
	if e.crashes.add(crash) {
		time.AfterFunc(crashSettleTime, e.settleCrashReports)
	}
	if e.crashes.beginNotice() {
		time.AfterFunc(crashNoticeTime, e.sendCrashNotice)
	}
}

// sendCrashNotice tells other hosts of crashes that are not settled, in case this host is lost
// before that.
func (e *Edge) sendCrashNotice() {
	if reports := crashReportsOf(e.crashes.takeNotice(), time.Now()); len(reports) > 0 {
		e.source.SendPendingCrashes(reports)
	}
}

// settleCrashReports sends the reports that wait, or lets them wait for what other hosts say
// if this host has lost many targets or hears of none.
func (e *Edge) settleCrashReports() {
	now := time.Now()
	e.directory.CheckLinks(now)
	share := e.lostShare()
	alone := len(e.otherHosts()) == 0
	if alone || !reach.Doubtful(share) && !e.directory.Links().Quiet(now) {
		e.sendCrashReports(e.crashes.take())
		return
	}
	e.updateHelpers()
	time.AfterFunc(crashLinkTime, e.compareCrashReports)
}

// compareCrashReports sends the reports that wait of targets that other hosts don't know to live.
func (e *Edge) compareCrashReports() {
	crashes := e.crashes.take()
	crashed := reach.Crashed(e.helpers.Ask(lossesOf(crashes, time.Now()), crashAskTime))
	var reported []*targetpool.Crash
	for i, crash := range crashes {
		if crashed[i] && !crash.Answered() {
			reported = append(reported, crash)
		}
	}
	e.sendCrashReports(reported)
	dropped := len(crashes) - len(reported)
	if dropped == 0 {
		return
	}
	e.metrics.scope.Counter("crash_reports_dropped").Inc(int64(dropped))
	e.opts.Log.WithFields(logrus.Fields{"reports": dropped, "sent": len(reported), "lost_share": e.lostShare()}).
		Info("reports of crashed targets dropped, as other hosts reach them")
}

// lossesOf returns the question to other hosts about crashes.
func lossesOf(crashes []*targetpool.Crash, now time.Time) []gatherlink.Loss {
	losses := make([]gatherlink.Loss, 0, len(crashes))
	for _, c := range crashes {
		losses = append(losses, gatherlink.Loss{
			Target: string(c.Target.ID), Born: c.Target.Born,
			SentAgoUS: now.Sub(c.Sent).Microseconds(), LostAgoUS: now.Sub(c.Lost).Microseconds(),
		})
	}
	return losses
}

// opinionOf returns what this host can say of a target that another host lost.
func (e *Edge) opinionOf(l gatherlink.Loss) reach.Opinion {
	now := time.Now()
	return e.directory.Opinion(catalog.TargetID(l.Target), l.Born, l.Sent(now), l.Lost(now))
}

// sendCrashReports tells all hosts of crashes, and that this host has settled what it saw.
func (e *Edge) sendCrashReports(crashes []*targetpool.Crash) {
	if reports := crashReportsOf(crashes, time.Now()); len(reports) > 0 {
		e.source.SendCrashReports(reports)
	}
	e.source.SendCrashesSettled()
}

func crashReportsOf(crashes []*targetpool.Crash, now time.Time) []crashguard.CrashReport {
	return lo.Map(crashes, func(c *targetpool.Crash, _ int) crashguard.CrashReport {
		return crashguard.CrashReport{
			Request: crashguard.FingerprintOf(c.Request), Target: string(c.Target.ID), Born: c.Target.Born, Service: string(c.Target.Service), AgeMS: now.Sub(c.Lost).Milliseconds(),
		}
	})
}
