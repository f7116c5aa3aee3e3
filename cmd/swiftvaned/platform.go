package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/decision/extrabudget"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/querypath/relay"
	"github.com/swiftvane/swiftvane/internal/support/exitcode"
	"github.com/swiftvane/swiftvane/internal/support/logging"
	"github.com/swiftvane/swiftvane/internal/wiring/edge"
	"github.com/swiftvane/swiftvane/platform"
)

const (
	// policyVariable is the environment variable that selects the policy of
	// placement and hedging, for measurements.
	policyVariable = "SWIFTVANE_POLICY"
	// heapShare is the share of the memory limit that is set as the Go runtime's
	// soft limit.
	heapShare = 0.6
	// logFlushTimeout bounds the wait for the last log lines to be written.
	logFlushTimeout = 200 * time.Millisecond
)

// servePlatform runs a host on the users' platform until SIGTERM or SIGINT.
func servePlatform(path string) error {
	// Signals are registered first: one that arrives earlier would terminate the
	// process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	node, err := platform.LoadNode(path)
	if err != nil {
		return exitcode.With(exitcode.Usage, err)
	}
	policy, err := relay.ParsePolicy(os.Getenv(policyVariable))
	if err != nil {
		return exitcode.With(exitcode.Usage, eris.Wrap(err, policyVariable))
	}
	// The collector keeps Go's default target: on this platform memory at its peak is
	// priced, and the heap of a host is a few megabytes.
	debug.SetMemoryLimit(int64(heapShare * float64(node.MemoryBytes)))
	out := logging.NewBoundedWriter(os.Stdout)
	defer out.Close(logFlushTimeout)
	log, err := logging.New(out, logging.DefaultLevel, model.HostID(node.Host))
	if err != nil {
		return exitcode.With(exitcode.Usage, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	file := newNodeFile(path, node, log)
	go file.run(ctx)
	options := edgeOptions(node, file, log)
	options.Policy = policy
	host := edge.New(options)
	if err := host.Start(); err != nil {
		return err
	}
	log.WithFields(logrus.Fields{"caller_addr": node.CallerAddr, "store": node.StoreAddr}).Info("started")
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		log.Info("settings reload requested")
		file.requestReload()
	}
	log.Info("stopping")
	clean := host.Stop()
	log.WithField("clean", clean).Info("stopped")
	return nil
}

func edgeOptions(node *platform.Node, file *nodeFile, log logrus.FieldLogger) edge.Options {
	return edge.Options{
		Host:           node.Host,
		FailureDomain:  node.FailureDomain,
		CallerAddr:     node.CallerAddr,
		ReadyAddr:      node.ReadyAddr,
		ReadyPath:      platform.ReadyPath,
		StopWithin:     node.StopWithin,
		DrainWithin:    node.DrainWithin,
		Regions:        catalog.Regions{Own: node.Region, ByDomain: node.Regions},
		EvacuateWithin: node.EvacuateWithin,
		Extra:          extrabudget.Limit{Ratio: node.Extra.Ratio, Slack: node.Extra.Slack, Window: node.Extra.Window},
		Cold:           edge.ColdBound{Over: node.Cold.Over, Slack: node.Cold.Slack},
		PeerAddr:       node.PeerAddr,
		FirstStart:     node.FirstStart,
		Readers:        file.seeds,
		Capacity:       node.Capacity,
		MemoryBytes:    node.MemoryBytes,
		Store:          platform.NewStore(node.StoreAddr),
		Decode:         platform.Decode,
		CallerCodec:    platform.CallerCodec{},
		TargetCodec:    platform.TargetCodec{},
		MetricsAddr:    node.MetricsAddr,
		Log:            log,
	}
}
