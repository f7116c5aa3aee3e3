package catalog

import (
	"sort"
	"strings"
	"time"
)

// Limits bound the size of callers' requests and the read and idle times of their
// connections.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Service holds the configuration of one service.
type Service struct {
	Name ServiceName
	// MaxConns is the number of connections that each of its targets accepts
	// from all hosts combined.
	MaxConns int
}

// Config is one published version of the configuration.
type Config struct {
	Version  int64
	Routes   []*Route
	Services map[ServiceName]Service
	Limits   Limits

	byHost map[string][]*Route
}

// NewConfig returns a configuration with its routes indexed.
func NewConfig(version int64, routes []*Route, services map[ServiceName]Service, limits Limits) *Config {
	c := &Config{Version: version, Routes: routes, Services: services, Limits: limits, byHost: map[string][]*Route{}}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, list := range c.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return c
}

// Match returns host's route with the longest prefix of path, or nil if none
// matches. It ignores a port in host and a query string in path.
func (c *Config) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	list, ok := c.byHost[host]
	if !ok {
		list = c.byHost[strings.ToLower(host)]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
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
