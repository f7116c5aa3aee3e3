// Package platform is a stand-in for the platform's configuration service and
// host list. Both can be read and watched. Tests publish changes and switch faults
// on through a separate admin listener.
package platform

import (
	"encoding/json"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/standin/httpserve"
)

// Settings describe a stand-in platform.
type Settings struct {
	// Addr is the listen address for reads; empty selects a free loopback port.
	Addr string
	// AdminAddr is the listen address for changes; empty selects a free loopback
	// port.
	AdminAddr string
	// Document and Hosts are served first; nil selects an empty one of revision 1.
	Document *config.Document
	Hosts    *model.HostList
}

// Platform is a running stand-in platform.
type Platform struct {
	mu sync.Mutex
	// documents and hosts hold what was published, oldest first.
	documents []*config.Document
	hosts     []publishedHosts
	faults    Faults
	calls     Calls
	// changed is closed and replaced at each change, to wake watches.
	changed chan struct{}

	// public serves reads and watches.
	public *httpserve.Tracker
	admin  *httpserve.Tracker
	done   chan struct{}
	once   sync.Once
	group  sync.WaitGroup
}

// publishedHosts is a host list and the time of its publication, which is zero for
// the initial list.
type publishedHosts struct {
	list *model.HostList
	at   time.Time
}

// Start starts a platform.
func Start(settings Settings) (*Platform, error) {
	p := &Platform{changed: make(chan struct{}), done: make(chan struct{})}
	if settings.Document == nil {
		settings.Document = &config.Document{Revision: 1, Keys: map[string]json.RawMessage{}}
	}
	if settings.Hosts == nil {
		settings.Hosts = &model.HostList{Revision: 1}
	}
	p.documents = []*config.Document{settings.Document}
	p.hosts = []publishedHosts{{list: settings.Hosts}}
	var err error
	if p.public, err = listen(settings.Addr); err != nil {
		return nil, err
	}
	if p.admin, err = listen(settings.AdminAddr); err != nil {
		p.public.CloseAll()
		return nil, err
	}
	p.group.Go(func() { httpserve.Serve(p.public, p.handlePublic) })
	p.group.Go(func() { httpserve.Serve(p.admin, p.handleAdmin) })
	return p, nil
}

func listen(addr string) (*httpserve.Tracker, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	inner, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "standin: listen on %s", addr)
	}
	return httpserve.Track(inner), nil
}

// Addr returns the address that serves the configuration and the host list.
func (p *Platform) Addr() string { return p.public.Addr().String() }

// AdminAddr returns the address of the admin listener.
func (p *Platform) AdminAddr() string { return p.admin.Addr().String() }

// Close closes all listeners and connections, and waits until they have ended.
func (p *Platform) Close() {
	p.once.Do(func() { close(p.done) })
	p.public.CloseAll()
	p.admin.CloseAll()
	p.group.Wait()
}

// Document returns the newest document, regardless of faults.
func (p *Platform) Document() *config.Document {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.documents[len(p.documents)-1]
}

// Publish sets and removes keys and returns the revision of the new document.
func (p *Platform) Publish(set map[string]json.RawMessage, remove ...string) model.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := p.documents[len(p.documents)-1]
	keys := maps.Clone(newest.Keys)
	if keys == nil {
		keys = make(map[string]json.RawMessage)
	}
	maps.Copy(keys, set)
	for _, key := range remove {
		delete(keys, key)
	}
	p.documents = append(p.documents, &config.Document{Revision: newest.Revision + 1, Keys: keys})
	p.notify()
	return newest.Revision + 1
}

// SetHosts publishes hosts and leaving targets and returns the revision of the new
// list.
func (p *Platform) SetHosts(hosts []model.Host, leaving []model.TargetID) model.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := p.hosts[len(p.hosts)-1].list.Revision + 1
	list := &model.HostList{Revision: revision, Hosts: hosts, LeavingTargets: leaving}
	p.hosts = append(p.hosts, publishedHosts{list: list, at: time.Now()})
	p.notify()
	return revision
}

// SetFaults replaces all faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notify()
}

// Faults returns the faults in force.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Calls returns the call counts so far.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// notify wakes all watches. The caller holds mu.
func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}
