// Package cluster starts stand-in targets and a stand-in platform in the current
// process. The platform publishes a document that describes the targets.
package cluster

import (
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/standin/platform"
	"github.com/swiftvane/swiftvane/internal/standin/target"
)

// Options describe a cluster.
type Options struct {
	Shapes []fixture.Shape
	// Hosts is the host list that is published at the start; nil for an empty one.
	Hosts *model.HostList
	// FullCoverage lists the workloads whose answers must cover every shard.
	FullCoverage []model.WorkloadName
	// Faults are set on every target at the start.
	Faults target.Faults
	// QueueLimit is the queue limit of each target; zero selects the default.
	QueueLimit int
	// Seed makes the targets' random decisions repeatable.
	Seed uint64
}

// Cluster is a running platform with its targets.
type Cluster struct {
	Platform *platform.Platform
	Targets  []*target.Target
}

// Start starts a cluster. On an error nothing is left running.
func Start(options Options) (*Cluster, error) {
	c := new(Cluster)
	if err := c.start(&options); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(options *Options) error {
	var addrs []string
	for _, shape := range options.Shapes {
		for _, id := range shape.TargetIDs() {
			started, err := target.Start(settings(options, &shape, id, len(addrs)))
			if err != nil {
				return err
			}
			c.Targets = append(c.Targets, started)
			addrs = append(addrs, started.Addr())
		}
	}
	doc, err := fixture.Document(addrs, options.Shapes...)
	if err != nil {
		return err
	}
	for _, workload := range options.FullCoverage {
		key, exception := fixture.FullCoverage(workload)
		doc.Keys[key] = exception
	}
	c.Platform, err = platform.Start(platform.Settings{Document: doc, Hosts: options.Hosts})
	return err
}

func settings(options *Options, shape *fixture.Shape, id model.TargetID, index int) target.Settings {
	return target.Settings{
		ID:             id,
		Slots:          shape.Slots,
		MaxConnections: shape.MaxConnections,
		SetupCost:      shape.SetupCost,
		QueueLimit:     options.QueueLimit,
		Snapshots:      []model.SnapshotID{fixture.FirstSnapshot},
		Seed:           options.Seed + uint64(index),
		Faults:         options.Faults,
	}
}

// Target returns the target with this id, or nil.
func (c *Cluster) Target(id model.TargetID) *target.Target {
	for _, t := range c.Targets {
		if t.ID() == id {
			return t
		}
	}
	return nil
}

// SetFaults replaces the faults of every target.
func (c *Cluster) SetFaults(f target.Faults) error {
	for _, t := range c.Targets {
		if err := t.SetFaults(f); err != nil {
			return err
		}
	}
	return nil
}

// Runs returns the runs of request on all targets, or all runs if request is "*".
// Totals are summed; PeakConnections is the highest peak of any target.
func (c *Cluster) Runs(request string) target.RunReport {
	var sum target.RunReport
	for _, t := range c.Targets {
		report := t.Runs(request)
		sum.Started += report.Started
		sum.Finished += report.Finished
		sum.Cancelled += report.Cancelled
		sum.Refused += report.Refused
		sum.Incomplete = sum.Incomplete || report.Incomplete
		sum.OpenConnections += report.OpenConnections
		sum.PeakConnections = max(sum.PeakConnections, report.PeakConnections)
		sum.RefusedConnections += report.RefusedConnections
		sum.Crashes += report.Crashes
		sum.Runs = append(sum.Runs, report.Runs...)
	}
	return sum
}

// Close stops the targets and the platform.
func (c *Cluster) Close() {
	for _, t := range c.Targets {
		t.Close()
	}
	if c.Platform != nil {
		c.Platform.Close()
	}
}
