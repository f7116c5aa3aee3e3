package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/support/exitcode"
	"github.com/swiftvane/swiftvane/internal/support/gctune"
	"github.com/swiftvane/swiftvane/internal/support/logging"
	"github.com/swiftvane/swiftvane/internal/support/settings"
	"github.com/swiftvane/swiftvane/internal/wiring/daemon"
)

// serve runs the daemon until a signal or an operator requests a stop.
func serve(s *settings.Settings) error {
	gctune.Apply()
	out := logging.NewBoundedWriter(os.Stderr)
	defer out.Close(logFlushTimeout)
	log, err := logging.New(out, s.Log.Level, s.Host.ID)
	if err != nil {
		return exitcode.With(exitcode.Usage, err)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)

	d, err := daemon.New(s, log)
	if err != nil {
		return err
	}
	if err := d.Start(context.Background()); err != nil {
		return err
	}
	log.WithFields(logrus.Fields{"caller_addr": d.CallerAddr(), "admin_addr": d.AdminAddr()}).Info("started")
	select {
	case <-signals:
	case <-d.DrainRequested():
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return exitcode.With(exitcode.Forced, d.Stop(ctx))
}
