package platform

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	wire "github.com/swiftvane/swiftvane/internal/hosts/platform"
	"github.com/swiftvane/swiftvane/internal/standin/httpserve"
)

// maxWait bounds the duration of a watch.
const maxWait = 5 * time.Minute

// handlePublic serves one read or watch of the configuration or the host list.
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
		p.respond(ctx, p.visibleDocument(call))
	case wire.PathHosts:
		p.count(func(c *Calls) { c.Hosts++ })
		p.watch(wait, func() bool { return p.visibleHosts().Revision != after })
		p.respond(ctx, p.visibleHosts())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// count counts a call and returns the total number of calls.
func (p *Platform) count(add func(*Calls)) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	add(&p.calls)
	return p.calls.Config + p.calls.Hosts
}

// respond sends v, subject to the faults Down and SlowMS.
func (p *Platform) respond(ctx *fasthttp.RequestCtx, v any) {
	faults := p.Faults()
	if faults.Down {
		_ = ctx.Conn().Close()
		return
	}
	if faults.SlowMS > 0 {
		p.sleep(time.Duration(faults.SlowMS) * time.Millisecond)
	}
	httpserve.WriteJSON(ctx, v)
}

// watch waits until ready returns true, wait has passed or the platform is closed.
// It checks ready after each change, and when the newest host list becomes visible
// after its lag.
func (p *Platform) watch(wait time.Duration, ready func() bool) {
	if wait <= 0 {
		return
	}
	p.addWaiting(1)
	defer p.addWaiting(-1)
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

func (p *Platform) addWaiting(delta int) {
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

// visibleDocument returns the document that the call with this number receives.
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

// visibleHosts returns the newest host list that was published at least the host
// lag ago.
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
// visible, or nil if it is visible already. The caller holds mu.
func (p *Platform) nextVisible() <-chan time.Time {
	remaining := p.hostLag() - time.Since(p.hosts[len(p.hosts)-1].at)
	if remaining <= 0 {
		return nil
	}
	return time.After(remaining)
}

func (p *Platform) hostLag() time.Duration {
	return time.Duration(p.faults.HostLagMS) * time.Millisecond
}
