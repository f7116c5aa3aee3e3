package capacity

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// Options choose what is measured.
type Options struct {
	// Shards are the query sizes and Members the fleet sizes measured.
	Shards  []int
	Members []int
	// Progress is called with the name of each measurement before it starts; it
	// may be nil.
	Progress func(what string)
	Log      logrus.FieldLogger
}

// DefaultOptions returns the options behind the table of docs/CAPACITY.md.
func DefaultOptions(log logrus.FieldLogger) Options {
	return Options{Shards: []int{100, 400, 1400}, Members: []int{10, 50, 200}, Log: log}
}

// remoteShards is the query size at which the cost of links is measured.
const remoteShards = 400

// Measure measures all slopes on this machine, one after the other. It takes
// about a minute.
func Measure(ctx context.Context, o Options) (*Slopes, error) {
	s := &Slopes{SubrequestUS: map[int]float64{}}
	steps := []struct {
		what string
		run  func() error
	}{
		{"sub-requests on one host", func() error { return s.addLocal(ctx, &o) }},
		{"sub-requests between hosts", func() error { return s.setRemote(ctx, &o) }},
		{"memory of links", func() error { return s.setLinks(ctx, &o) }},
		{"configuration and owners at the design size", s.setView},
		{"claims", func() error { return s.setClaims(ctx, &o) }},
		{"control of fleets", func() error { return s.addFleets(ctx, &o) }},
	}
	for _, step := range steps {
		if o.Progress != nil {
			o.Progress(step.what)
		}
		if err := step.run(); err != nil {
			return nil, eris.Wrap(err, step.what)
		}
	}
	return s, nil
}

func (s *Slopes) addLocal(ctx context.Context, o *Options) error {
	for _, shards := range o.Shards {
		us, err := measureLocal(ctx, shards, o.Log)
		if err != nil {
			return err
		}
		s.SubrequestUS[shards] = us
	}
	return nil
}

func (s *Slopes) setRemote(ctx context.Context, o *Options) error {
	local, err := measureLocal(ctx, remoteShards, o.Log)
	if err != nil {
		return err
	}
	remote, err := measureRemote(ctx, remoteShards, o.Log)
	s.RemoteUS, s.RemoteBytes = max(0, remote.cpuUS-local), remote.bytes
	return err
}

func (s *Slopes) setLinks(ctx context.Context, o *Options) (err error) {
	s.LinkBytes, err = measureLinks(ctx, o.Log)
	return err
}

func (s *Slopes) setView() error {
	size := DesignSize()
	cost, err := measureView(&size)
	s.ViewBytes, s.DocumentBytes = cost.viewBytes, cost.documentBytes
	s.OwnersMS, s.LargeChangeUS = cost.ownersMS, cost.changeUS
	return err
}

func (s *Slopes) setClaims(ctx context.Context, o *Options) error {
	cost, err := measureClaims(ctx, o.Log)
	s.ClaimUS, s.ClaimEntryBytes = cost.cpuUS, cost.entryBytes
	return err
}

func (s *Slopes) addFleets(ctx context.Context, o *Options) error {
	for _, members := range o.Members {
		slope, change, err := measureFleet(ctx, members, o.Log)
		if err != nil {
			return err
		}
		s.Fleet = append(s.Fleet, slope)
		s.ChangeUS, s.ChangeBytes = change.cpuUS, change.bytes
	}
	return nil
}
