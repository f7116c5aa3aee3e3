package catalog

import (
	"sort"
	"strings"
	"time"

	"github.com/samber/lo"
)

// Limits bound the size of callers' requests and the read and idle times of their
// connections.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout bounds the time to read a request's header and, counted anew,
	// its body.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service holds the configuration of one service.
type Service struct {
	Name ServiceName
	// MaxConns is the number of connections that each of its targets accepts
	// from all hosts combined.
	MaxConns int
	// Warmup is how long a target is cold after a start.
	Warmup time.Duration
	// WarmupPerSecond is the number of requests a second that a cold target sustains; 0 if it
	// is not bounded.
	WarmupPerSecond float64
}

// Config is one published version of the configuration.
type Config struct {
	Version  int64
	Routes   []*Route
	Services map[ServiceName]Service
	Limits   Limits

	// byHostName holds the routes of each HTTP host name in lower case, those with
	// the longest prefix first.
	byHostName map[string][]*Route
	// shards has the services that are shards of a sweep; leastShardConns is the least
	// MaxConns of them.
	shards          map[ServiceName]bool
	leastShardConns int
	homeRegions     bool
}

// NewConfig returns a configuration with its routes indexed and the numbers of services and limits in
// bounds. What decodes a route bounds its numbers by NewRoute.
func NewConfig(version int64, routes []*Route, services map[ServiceName]Service, limits Limits) *Config {
	c := &Config{Version: version, Routes: routes, Services: lo.MapValues(services, boundedService), Limits: limits.bounded(), byHostName: map[string][]*Route{}}
	for _, r := range routes {
		r.Fingerprint = fingerprintOf(r)
		hostName := strings.ToLower(r.Host)
		c.byHostName[hostName] = append(c.byHostName[hostName], r)
	}
	for _, list := range c.byHostName {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	c.indexShards()
	return c
}

// Match returns the route of an HTTP host name that has the longest prefix of path,
// or nil if none matches. It ignores the case and a port of hostName and a query
// string in path.
func (c *Config) Match(hostName, path string) *Route {
	if i := strings.LastIndexByte(hostName, ':'); i >= 0 {
		hostName = hostName[:i]
	}
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	list, ok := c.byHostName[hostName]
	if !ok {
		list = c.byHostName[strings.ToLower(hostName)]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Shards returns the services that are shards of a sweep. The result must not be changed.
func (c *Config) Shards() map[ServiceName]bool { return c.shards }

// LeastShardConns returns the least number of connections that a target of any shard
// accepts, 0 if there are no shards.
func (c *Config) LeastShardConns() int { return c.leastShardConns }

// HasHomeRegions reports whether a route is bound to regions.
func (c *Config) HasHomeRegions() bool { return c.homeRegions }

// indexShards collects the shards of all routes.
func (c *Config) indexShards() {
	c.shards = map[ServiceName]bool{}
	for _, r := range c.Routes {
		c.homeRegions = c.homeRegions || len(r.AllowedRegions) > 0
		for _, s := range r.Shards {
			c.shards[s] = true
		}
	}
	for shard := range c.shards {
		conns := c.Services[shard].MaxConns
		if conns > 0 && (c.leastShardConns == 0 || conns < c.leastShardConns) {
			c.leastShardConns = conns
		}
	}
}

// InUse returns the services that at least one route refers to.
func (c *Config) InUse() map[ServiceName]bool {
	used := map[ServiceName]bool{}
	for _, r := range c.Routes {
		for _, s := range r.Shards {
			used[s] = true
		}
		for _, w := range r.Split {
			used[w.Service] = true
		}
	}
	return used
}
