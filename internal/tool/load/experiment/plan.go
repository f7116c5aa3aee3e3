// Package experiment compares ways of answering queries under the same load, on
// stand-ins in this process, and reports each and the ratios between them.
//
// The arms of an experiment run one after the other, each on stand-ins of its
// own, so that their ratio comes from one run on one machine.
package experiment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"

	"github.com/swiftvane/swiftvane/internal/standin/cluster"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/standin/target"
	"github.com/swiftvane/swiftvane/internal/tool/load"
)

// Plan is what an experiment file says.
type Plan struct {
	Name        string `toml:"name" validate:"required"`
	Description string `toml:"description" validate:"required"`
	// Workload is the shape of the stand-ins.
	Workload Workload `toml:"workload"`
	// Policy overrides the fleet's defaults, as JSON.
	Policy string `toml:"policy" validate:"omitempty,json"`
	// Load is offered to every arm. Its rate may be overridden by an arm.
	Load Load `toml:"load"`
	// Rounds is how often the arms run, in turn; their samples are not mixed.
	Rounds   int          `toml:"rounds" validate:"min=1,max=20"`
	Arms     []Arm        `toml:"arm" validate:"min=1,max=12,unique=Name,dive"`
	Compares []Comparison `toml:"compare" validate:"dive"`
}

// Workload is the shape of the stand-ins.
type Workload struct {
	Services       int           `toml:"services" validate:"min=1,max=1400"`
	Replicas       int           `toml:"replicas" validate:"min=1,max=8"`
	Slots          int           `toml:"slots" validate:"min=1,max=64"`
	MaxConnections int           `toml:"max_connections" validate:"min=4,max=1024"`
	SetupCost      load.Duration `toml:"setup_cost"`
	QueueLimit     int           `toml:"queue_limit" validate:"min=0,max=100000"`
	Faults         Faults        `toml:"faults"`
}

// Load is the load offered to an arm.
type Load struct {
	Rate        float64       `toml:"rate" validate:"gt=0,max=100000"`
	Arrivals    string        `toml:"arrivals" validate:"oneof=constant poisson"`
	Warmup      load.Duration `toml:"warmup"`
	Duration    load.Duration `toml:"duration" validate:"required"`
	DeadlineMS  int           `toml:"deadline_ms" validate:"min=1"`
	MaxInflight int           `toml:"max_inflight" validate:"min=1,max=100000"`
	Seed        uint64        `toml:"seed"`
}

// The kinds of arms.
const (
	// Naive scatters directly over a static share of each target's connections.
	Naive = "naive"
	// Core is the entry and dispatch roles of one host, called in this process.
	Core = "core"
	// Tier is daemons in this process, asked over HTTP.
	Tier = "tier"
)

// Arm is one way of answering queries.
type Arm struct {
	Name string `toml:"name" validate:"required"`
	Kind string `toml:"kind" validate:"oneof=naive core tier"`
	// Hosts is the number of hosts; queries go to them in turn.
	Hosts int `toml:"hosts" validate:"min=1,max=16"`
	// Direct makes every host dial every target with a 1/N share.
	Direct bool `toml:"direct"`
	// Groups splits the hosts of a core arm into groups that know only their own
	// members, as on the sides of a split or under a lagging host list. Zero means
	// that all know all.
	Groups int `toml:"groups" validate:"min=0,ltefield=Hosts"`
	// Rate overrides the load's if it is set.
	Rate float64 `toml:"rate" validate:"min=0,max=100000"`
	// FaultAt is when Faults are set on the first FaultTargets targets, from the
	// start of the warm-up.
	FaultAt      load.Duration `toml:"fault_at"`
	FaultTargets int           `toml:"fault_targets" validate:"min=0"`
	Faults       Faults        `toml:"faults"`
}

// Comparison is a ratio between two arms, or one arm's own value, with a bound.
type Comparison struct {
	Name   string `toml:"name" validate:"required"`
	Metric string `toml:"metric" validate:"required"`
	Of     string `toml:"of" validate:"required"`
	// To is the arm to divide by; empty takes the value as it is. "best" stands
	// for the arm with the highest value.
	To string `toml:"to"`
	// AtMost and AtLeast bound the value; one of them is set.
	AtMost  *float64 `toml:"at_most"`
	AtLeast *float64 `toml:"at_least"`
}

// Faults are a target's faults, written as JSON.
type Faults struct{ target.Faults }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Faults) UnmarshalText(text []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	return decoder.Decode(&f.Faults)
}

// Read reads and checks an experiment file.
func Read(path string) (*Plan, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	plan, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return plan, nil
}

// Parse decodes and checks an experiment. Unknown keys are errors.
func Parse(raw []byte) (*Plan, error) {
	plan := &Plan{Rounds: 1, Load: Load{Arrivals: load.Poisson, MaxInflight: 5000}}
	if err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(plan); err != nil {
		if strict, ok := errors.AsType[*toml.StrictMissingError](err); ok {
			return nil, fmt.Errorf("unknown key: %s", strict.String())
		}
		return nil, err
	}
	if err := validator.New().Struct(plan); err != nil {
		return nil, err
	}
	return plan, plan.checkComparisons()
}

// checkComparisons fails on the first comparison that names no arm, no metric or
// no bound.
func (p *Plan) checkComparisons() error {
	arms := map[string]bool{"": true, bestArm: true}
	for _, arm := range p.Arms {
		arms[arm.Name] = true
	}
	for _, c := range p.Compares {
		if !arms[c.Of] || c.Of == bestArm || !arms[c.To] {
			return fmt.Errorf("compare %q: of %q and to %q must name arms", c.Name, c.Of, c.To)
		}
		if _, known := metrics[c.Metric]; !known {
			return fmt.Errorf("compare %q: metric %q is not known", c.Name, c.Metric)
		}
		if (c.AtMost == nil) == (c.AtLeast == nil) {
			return fmt.Errorf("compare %q: one of at_most and at_least is needed", c.Name)
		}
	}
	return nil
}

// shape returns the stand-ins' shape.
func (p *Plan) shape() fixture.Shape {
	w := &p.Workload
	shape := fixture.Generic("sweep", w.Services, w.Replicas)
	shape.Slots, shape.MaxConnections, shape.SetupCost = w.Slots, w.MaxConnections, time.Duration(w.SetupCost)
	return shape
}

// standins returns the options of an arm's stand-ins.
func (p *Plan) standins() cluster.Options {
	return cluster.Options{
		Shapes:     []fixture.Shape{p.shape()},
		Faults:     p.Workload.Faults.Faults,
		QueueLimit: p.Workload.QueueLimit,
		Seed:       p.Load.Seed,
	}
}

// run returns the load run of an arm.
func (p *Plan) run(arm *Arm) *load.Run {
	rate := p.Load.Rate
	if arm.Rate > 0 {
		rate = arm.Rate
	}
	return &load.Run{
		Name:        arm.Name,
		Rate:        rate,
		Arrivals:    p.Load.Arrivals,
		Warmup:      p.Load.Warmup,
		Duration:    p.Load.Duration,
		DeadlineMS:  p.Load.DeadlineMS,
		Seed:        p.Load.Seed,
		MaxInflight: p.Load.MaxInflight,
		Mix:         []load.Share{{Workload: "sweep", Weight: 1, Caller: "experiment", Body: `{"sweep":true}`}},
	}
}
