package catalog

import (
	"sort"
	"strings"
	"time"
)

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Service is what the configuration says of a service.
type Service struct {
	Name ServiceName
	// MaxConns is the number of connections that each of its targets takes
	// from all hosts together.
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

// Match returns the route with the longest prefix of path among those of host,
// or nil. A port in host and a query in path don't count.
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

// InUse returns the services that some route names.
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
