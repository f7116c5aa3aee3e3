package main

import (
	"bytes"
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/platform"
)

// nodeFileEvery is how often the settings file is looked at: it may change
// without a signal.
const nodeFileEvery = time.Second

// nodeFile follows the platform's settings file. What a change of it moves while
// the process runs are the seeds; the rest holds until the next start.
type nodeFile struct {
	path    string
	log     logrus.FieldLogger
	raw     []byte
	bad     []byte
	current atomic.Pointer[platform.Node]
	reload  chan struct{}
}

func newNodeFile(path string, node *platform.Node, log logrus.FieldLogger) *nodeFile {
	f := &nodeFile{path: path, log: log, reload: make(chan struct{}, 1)}
	f.current.Store(node)
	return f
}

// seeds returns the addresses of the hosts that read the store.
func (f *nodeFile) seeds() []string { return f.current.Load().Seeds }

// ask makes the file be read soon.
func (f *nodeFile) ask() {
	select {
	case f.reload <- struct{}{}:
	default:
	}
}

// run follows the file until ctx ends.
func (f *nodeFile) run(ctx context.Context) {
	ticker := time.NewTicker(nodeFileEvery)
	defer ticker.Stop()
	for {
		f.check()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.reload:
		}
	}
}

// check takes a changed file in; one that is wrong changes nothing and is told
// once.
func (f *nodeFile) check() {
	raw, err := os.ReadFile(f.path)
	if err != nil {
		f.refuse([]byte(err.Error()), err)
		return
	}
	if bytes.Equal(raw, f.raw) {
		return
	}
	node, err := platform.ParseNode(raw)
	if err != nil {
		f.refuse(raw, err)
		return
	}
	first := f.raw == nil
	f.raw, f.bad = raw, nil
	f.current.Store(node)
	if !first {
		f.log.WithField("seeds", node.Seeds).Info("settings reloaded")
	}
}

func (f *nodeFile) refuse(what []byte, err error) {
	if bytes.Equal(what, f.bad) {
		return
	}
	f.bad = what
	f.log.WithError(err).Error("settings file is wrong; the last good settings stay in force")
}
