package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"
)

// system is a small deployment: the store, the searchers and the machines.
type system struct {
	rec   *record
	store *store
	runs  *runs
	nodes []*node
	doors []*storeDoor
	// block is the part of the loopback addresses that the machines use.
	block string
	dir   string
	set   settings
	// seeds is the number of machines that the settings name as seeds.
	version int64
}

// bounds are those of the small deployments' sheets.
func bounds(slack int) map[string]any {
	return map[string]any{
		"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_ms": 5000, "sync_s": 4, "drain_ms": 3000, "grace_s": 6,
		"loss_slack_ms": 200, "config_apply_ms": 3000, "downgrade_ms": 250, "max_skew_ms": 12000, "retry_budget_ratio": 0.2,
		"budget_window_s": 10, "retry_budget_slack": slack, "recovery_s": 12,
	}
}

// contact is contact_ms of the bounds.
const contact = 4 * time.Second

// newSystem returns a deployment of machines in the given zones, without processes.
func newSystem(rec *record, zones []string, rewrite func(machine int) func(item) item) (*system, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, store: newStore(), runs: &runs{}, dir: dir, block: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))}
	s.set = settings{region: "region-1", zones: map[string]string{}, bounds: bounds(54)}
	for i, zone := range zones {
		s.set.zones[zone] = s.set.region
		if i < 3 {
			s.set.seeds = append(s.set.seeds, s.ip(i)+":"+controlPort)
		}
	}
	for i, zone := range zones {
		var seen func(item) item
		if rewrite != nil {
			seen = rewrite(i)
		}
		door, err := s.store.openDoor("127.0.0.1", seen)
		if err != nil {
			return nil, err
		}
		s.doors = append(s.doors, door)
		n, err := newNode(fmt.Sprintf("front-%d", i+1), s.ip(i), zone, dir, door.addr, s.set, rec)
		if err != nil {
			return nil, err
		}
		s.nodes = append(s.nodes, n)
	}
	return s, nil
}

func (s *system) ip(machine int) string { return fmt.Sprintf("%s.%d", s.block, machine+1) }

// start starts all machines and waits until they are ready.
func (s *system) start() error {
	for _, n := range s.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range s.nodes {
		if err := n.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// restart stops a machine as planned work and starts it again.
func (s *system) restart(machine int) error {
	n := s.nodes[machine]
	n.stop()
	if err := n.writeSettings(s.doors[machine].addr, s.set, false); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	if err := n.start(); err != nil {
		return err
	}
	return n.awaitReady(10 * time.Second)
}

// end kills all processes and removes the folder with their settings.
func (s *system) end() {
	var all sync.WaitGroup
	for _, n := range s.nodes {
		all.Go(n.kill)
	}
	all.Wait()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// route is a route of the configuration to one service.
type route struct {
	name, prefix, service string
	// shards are the services of a gathered route, which has no service of its own.
	shards    []string
	timeout   time.Duration
	objective time.Duration
}

// configure writes the next version of the configuration.
func (s *system) configure(routes []route, services []string) {
	s.version += 3
	list := []map[string]any{}
	for _, r := range routes {
		entry := map[string]any{
			"name": r.name, "host": hostName, "prefix": r.prefix, "type": "safe", "attempts": 2,
			"timeout_ms": r.timeout.Milliseconds(), "slo_ms": r.objective.Milliseconds(), "priority": 2,
		}
		if len(r.shards) > 0 {
			entry["gather"], entry["top_k"], entry["oldest_version"] = r.shards, 50, 0.89
		} else {
			entry["service"] = r.service
		}
		list = append(list, entry)
	}
	known := []map[string]any{}
	for _, name := range services {
		known = append(known, map[string]any{"name": name, "health_path": "/health", "max_conns": s.maxConns(name), "protocol": "h1", "tls": false})
	}
	s.store.put("op/config", map[string]any{
		"version": s.version, "routes": list, "services": known,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	s.rec.write("configuration acknowledged", fields{"version": s.version, "routes": routes2text(routes)})
}

// maxConns returns the connections that a searcher of a service accepts: fewer for shards.
func (s *system) maxConns(service string) int {
	if strings.HasPrefix(service, "shard-") {
		return 26
	}
	return 100
}

func routes2text(routes []route) []string {
	var list []string
	for _, r := range routes {
		list = append(list, r.prefix+" -> "+r.service)
	}
	return list
}
