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

// nodeFilePollInterval is the time between two checks of the settings file,
// which may change without a signal.
const nodeFilePollInterval = time.Second

// nodeFile watches the platform's settings file. Of a changed file, only the seeds
// take effect while the process runs; the rest takes effect at the next start.
type nodeFile struct {
	path string
	log  logrus.FieldLogger
	// loaded is the content last accepted.
	loaded []byte
	// rejected is the content or read error last rejected; nil after a content is
	// accepted.
	rejected []byte
	current  atomic.Pointer[platform.Node]
	reload   chan struct{}
}

func newNodeFile(path string, node *platform.Node, log logrus.FieldLogger) *nodeFile {
	f := &nodeFile{path: path, log: log, reload: make(chan struct{}, 1)}
	f.current.Store(node)
	return f
}

// seeds returns the addresses of the hosts that read the platform's store.
func (f *nodeFile) seeds() []string { return f.current.Load().Seeds }

// requestReload makes run read the file without waiting for the next check.
func (f *nodeFile) requestReload() {
	select {
	case f.reload <- struct{}{}:
	default:
	}
}

// run checks the file at each interval and reload request until ctx ends.
func (f *nodeFile) run(ctx context.Context) {
	ticker := time.NewTicker(nodeFilePollInterval)
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

// check loads the file if it has changed. An unreadable or invalid file leaves the
// settings as they are and is logged once.
func (f *nodeFile) check() {
	raw, err := os.ReadFile(f.path)
	if err != nil {
		f.reject([]byte(err.Error()), err)
		return
	}
	if bytes.Equal(raw, f.loaded) {
		return
	}
	node, err := platform.ParseNode(raw)
	if err != nil {
		f.reject(raw, err)
		return
	}
	first := f.loaded == nil
	f.loaded, f.rejected = raw, nil
	f.current.Store(node)
	// Only the seeds take effect now, so only they are logged.
	if !first {
		f.log.WithField("seeds", node.Seeds).Info("seeds reloaded from the settings file")
	}
}

// reject logs err, unless the same content or read error was rejected last.
func (f *nodeFile) reject(content []byte, err error) {
	if bytes.Equal(content, f.rejected) {
		return
	}
	f.rejected = content
	f.log.WithError(err).Error("settings file is unreadable or invalid; the last valid settings stay in force")
}
