package platform

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	wire "github.com/swiftvane/swiftvane/internal/hosts/platform"
)

// maxWait bounds a watch.
const maxWait = 5 * time.Minute

// handlePublic serves one read.
func (p *Platform) handlePublic(ctx *fasthttp.RequestCtx) {
	if p.Faults().Down {
		_ = ctx.Conn().Close()
		return
	}
	after := model.Revision(ctx.QueryArgs().GetUintOrZero("after"))
	wait := min(time.Duration(ctx.QueryArgs().GetUintOrZero("wait_ms"))*time.Millisecond, maxWait)
	switch string(ctx.Path()) {
	case wire.PathConfig:
		call := p.count(func(c *Calls) { c.Config++ })
		p.watch(wait, func() bool { return p.visibleDocument(call).Revision != after })
		p.answer(ctx, p.visibleDocument(call))
	case wire.PathHosts:
		p.count(func(c *Calls) { c.Hosts++ })
		p.watch(wait, func() bool { return p.visibleHosts().Revision != after })
		p.answer(ctx, p.visibleHosts())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// count counts a call and returns its number.
func (p *Platform) count(add func(*Calls)) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	add(&p.calls)
	return p.calls.Config + p.calls.Hosts
}

// answer sends v, late or not at all if such a fault is on.
func (p *Platform) answer(ctx *fasthttp.RequestCtx, v any) {
	faults := p.Faults()
	if faults.Down {
		_ = ctx.Conn().Close()
		return
	}
	if faults.SlowMS > 0 {
		p.sleep(time.Duration(faults.SlowMS) * time.Millisecond)
	}
	writeJSON(ctx, v)
}

// watch returns once ready does or wait has passed. Host lists become visible
// late, so it looks again after the lag as well as after each change.
func (p *Platform) watch(wait time.Duration, ready func() bool) {
	if wait <= 0 {
		return
	}
	p.waiting(1)
	defer p.waiting(-1)
	expired := time.NewTimer(wait)
	defer expired.Stop()
	for {
		p.mu.Lock()
		changed := p.changed
		visible := p.nextVisible()
		p.mu.Unlock()
		if ready() {
			return
		}
		select {
		case <-changed:
		case <-visible:
		case <-expired.C:
			return
		case <-p.done:
			return
		}
	}
}

func (p *Platform) waiting(delta int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Waiting += delta
}

func (p *Platform) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-p.done:
	}
}

// visibleDocument is what the call with this number is shown.
func (p *Platform) visibleDocument(call int) *config.Document {
	p.mu.Lock()
	defer p.mu.Unlock()
	doc := p.documents[len(p.documents)-1]
	if stale := p.faults.StaleRevision; stale > 0 {
		for _, older := range p.documents {
			if older.Revision <= stale {
				doc = older
			}
		}
	}
	if len(p.faults.Conflict) == 0 || call%2 == 0 {
		return doc
	}
	keys := make(map[string]json.RawMessage, len(doc.Keys)+len(p.faults.Conflict))
	maps.Copy(keys, doc.Keys)
	maps.Copy(keys, p.faults.Conflict)
	return &config.Document{Revision: doc.Revision, Keys: keys}
}

// visibleHosts is the newest host list older than the lag.
func (p *Platform) visibleHosts() *model.HostList {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.hosts[0].list
	for _, published := range p.hosts {
		if time.Since(published.at) >= p.hostLag() {
			list = published.list
		}
	}
	return list
}

// nextVisible returns a channel that fires when the newest host list becomes
// visible, or nil if it is. The caller holds mu.
func (p *Platform) nextVisible() <-chan time.Time {
	left := p.hostLag() - time.Since(p.hosts[len(p.hosts)-1].at)
	if left <= 0 {
		return nil
	}
	return time.After(left)
}

func (p *Platform) hostLag() time.Duration {
	return time.Duration(p.faults.HostLagMS) * time.Millisecond
}
