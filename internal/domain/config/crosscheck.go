package config

import (
	"fmt"
	"slices"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// crossCheck reports values that are inconsistent with each other.
func (p *parser) crossCheck() {
	p.checkWorkloads()
	p.checkTargets()
	for name, index := range p.fleet.Indexes {
		p.checkIndex(name, index)
	}
	p.checkExceptions()
	p.indexEvacuated()
}

func (p *parser) checkWorkloads() {
	for name := range p.fleet.Workloads {
		if _, ok := p.fleet.Indexes[name]; !ok {
			p.addProblem(PrefixWorkload+string(name), string(name), "must have a valid key "+PrefixIndex+string(name))
		}
	}
	for name := range p.fleet.Indexes {
		if _, ok := p.fleet.Workloads[name]; !ok {
			p.addProblem(PrefixIndex+string(name), string(name), "must have a valid key "+PrefixWorkload+string(name))
		}
	}
}

func (p *parser) checkTargets() {
	byAddr := make(map[string]model.TargetID, len(p.fleet.Targets))
	for id, t := range p.fleet.Targets {
		if t.ID != id {
			p.addProblem(PrefixTarget+string(id)+".id", string(t.ID), "must be the name in the key")
		}
		if other, ok := byAddr[t.Addr]; ok {
			p.addProblem(PrefixTarget+string(max(id, other))+".addr", t.Addr, "must not be the address of another target, "+string(min(id, other)))
		}
		byAddr[t.Addr] = id
	}
}

func (p *parser) checkIndex(name model.WorkloadName, index *model.Index) {
	key := PrefixIndex + string(name)
	var last model.SnapshotID
	for i, shards := range index.Snapshots {
		if shards.Snapshot < last {
			p.addProblem(fmt.Sprintf("%s.snapshots[%d].snapshot", key, i), shards.Snapshot, "must rise from one snapshot to the next")
		}
		last = shards.Snapshot
		for j, shard := range shards.Shards {
			for k, target := range shard.Replicas {
				if _, ok := p.fleet.Targets[target]; !ok {
					path := fmt.Sprintf("%s.snapshots[%d].shards[%d].replicas[%d]", key, i, j, k)
					p.addProblem(path, string(target), "must be a target with a valid key "+PrefixTarget+string(target))
				}
			}
		}
	}
}

func (p *parser) checkExceptions() {
	if len(p.fleet.Exceptions) > MaxExceptions {
		p.addProblem("exceptions", len(p.fleet.Exceptions), fmt.Sprintf("must be at most %d", MaxExceptions))
		return
	}
	for i := range p.fleet.Exceptions {
		p.checkException(&p.fleet.Exceptions[i])
	}
	p.checkCombinations()
}

func (p *parser) checkException(x *Exception) {
	key := PrefixException + x.Name
	index, ok := p.fleet.Indexes[x.Workload]
	if !ok {
		p.addProblem(key+".workload", string(x.Workload), "must be a workload of this document")
	} else if x.Service != "" && !hasService(index, x.Service) {
		p.addProblem(key+".service", string(x.Service), "must be a service of the workload's index")
	}
	if x.Policy == (PolicyPatch{}) {
		p.addProblem(key+".policy", "{}", "must override at least one value")
	}
	patched := p.fleet.Defaults
	x.Policy.apply(&patched)
	for _, problem := range validate(key+".policy", &patched) {
		// checkCombinations reports conflicting deadlines.
		if problem.Path != key+".policy.deadline_max_ms" || patched.DeadlineMaxMS >= patched.DeadlineDefaultMS {
			p.problems = append(p.problems, problem)
		}
	}
}

func hasService(index *model.Index, service model.ServiceName) bool {
	for _, shards := range index.Snapshots {
		if slices.ContainsFunc(shards.Shards, func(s model.Shard) bool { return s.Service == service }) {
			return true
		}
	}
	return false
}

// checkCombinations reports exceptions that in combination make the default
// deadline longer than the maximum. It checks them with none expired and after
// each expiry, since the expiry of one exception can make another one invalid.
func (p *parser) checkCombinations() {
	services, callers := []model.ServiceName{""}, []model.CallerID{""}
	times := []time.Time{{}}
	for _, x := range p.fleet.Exceptions {
		services = append(services, x.Service)
		callers = append(callers, x.Caller)
		times = append(times, x.expiry)
	}
	services, callers = distinct(services), distinct(callers)
	reported := make(map[string]bool)
	for _, x := range p.fleet.Exceptions {
		if x.Policy.DeadlineDefaultMS == nil && x.Policy.DeadlineMaxMS == nil {
			continue
		}
		for _, service := range services {
			for _, caller := range callers {
				p.checkCombination(&x, service, caller, times, reported)
			}
		}
	}
}

func (p *parser) checkCombination(x *Exception, service model.ServiceName, caller model.CallerID, times []time.Time, reported map[string]bool) {
	if reported[x.Name] || !x.matches(x.Workload, service, caller) {
		return
	}
	for _, at := range times {
		if x.expired(at) {
			continue
		}
		policy := p.fleet.Policy(x.Workload, service, caller, at)
		if policy.DeadlineDefaultMS > policy.DeadlineMaxMS {
			reported[x.Name] = true
			p.addProblem(PrefixException+x.Name+".policy", fmt.Sprintf("deadline_default_ms %d, deadline_max_ms %d", policy.DeadlineDefaultMS, policy.DeadlineMaxMS),
				"the default deadline must not be above the longest one, with all matching exceptions applied and after any of them expired")
			return
		}
	}
}

func distinct[T ~string](list []T) []T {
	slices.Sort(list)
	return slices.Compact(list)
}
