package cli

import (
	"sync"
	"time"

	"github.com/schollz/progressbar/v3"
)

const (
	// progressDelay is the time after which a running command shows a spinner.
	progressDelay = time.Second
	// progressInterval is the time between two steps of the spinner.
	progressInterval = 100 * time.Millisecond
	// unknownLength makes the progress bar a spinner.
	unknownLength = -1
)

// withProgress runs work. Unless output is quiet, it shows a spinner on standard
// error if work runs longer than progressDelay.
func (o *options) withProgress(what string, work func() error) error {
	if o.quiet {
		return work()
	}
	finished := make(chan struct{})
	var spinning sync.WaitGroup
	spinning.Go(func() { o.spin(what, finished) })
	err := work()
	close(finished)
	spinning.Wait()
	return err
}

func (o *options) spin(what string, finished <-chan struct{}) {
	select {
	case <-finished:
		return
	case <-time.After(progressDelay):
	}
	bar := progressbar.NewOptions(unknownLength,
		progressbar.OptionSetWriter(o.streams.Err),
		progressbar.OptionSetDescription(what),
		progressbar.OptionSetElapsedTime(true),
		progressbar.OptionClearOnFinish(),
	)
	defer func() { _ = bar.Finish() }()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		_ = bar.Add(1)
		select {
		case <-finished:
			return
		case <-ticker.C:
		}
	}
}
