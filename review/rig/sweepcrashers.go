package main

import (
	"fmt"
	"time"
)

// gatheringMachines is the number of machines: the least with which some gather for the others.
const gatheringMachines = 16

// sweepCrashers plays a gathered request that crashes the searchers that run it and comes
// again. It reports whether the rule was broken.
func sweepCrashers(rec *record, trouble bool) (bool, error) {
	all := []string{"zone-a", "zone-b", "zone-c", "zone-d"}
	var zones []string
	for i := range gatheringMachines {
		zones = append(zones, all[i%len(all)])
	}
	s, err := newSystem(rec, zones, nil)
	if err != nil {
		return false, err
	}
	defer s.end()
	const path = "/sweep/bad"
	var shards []string
	for i := range 20 {
		name := fmt.Sprintf("shard-%d", i+1)
		shards = append(shards, name)
		for j := range 2 {
			opts := searcherOptions{service: name, zone: all[(i+2*j)%len(all)], slots: 2, work: 7 * time.Millisecond, records: true, downFor: 3 * time.Second}
			if trouble {
				opts.crashesOn = path
			}
			if _, err := startSearcher(fmt.Sprintf("%s-%d", name, j+1), opts, rec, s.store, s.runs); err != nil {
				return false, err
			}
		}
	}
	for j := range 4 {
		opts := searcherOptions{service: "audit", zone: all[j], slots: 3, work: 60 * time.Millisecond}
		if _, err := startSearcher(fmt.Sprintf("audit-%d", j+1), opts, rec, s.store, s.runs); err != nil {
			return false, err
		}
	}
	s.configure([]route{
		{name: "sweep", prefix: "/sweep/", shards: shards, timeout: 1200 * time.Millisecond, objective: 80 * time.Millisecond},
		{name: "fetch", prefix: "/fetch/", service: "audit", timeout: 4 * time.Second, objective: 250 * time.Millisecond},
	}, append(shards, "audit"))
	if err := s.start(); err != nil {
		return false, err
	}
	c := newClient(rec)
	stopLoad := s.load(c, "/fetch/")
	defer stopLoad()
	stopSweeps := s.load(c, "/sweep/")
	defer stopSweeps()
	time.Sleep(contact + 6*time.Second)
	b := &badRequests{system: s, client: c, path: path, harmless: !trouble}
	for range 8 {
		b.submit()
		time.Sleep(6 * time.Second)
	}
	rec.write("verdict", fields{"crashes": b.crashes, "submitted": b.submitted, "retries_reached_in_touch_after_contact": b.late, "tolerated": toleratedRetries})
	return b.late > toleratedRetries, nil
}
