package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/daemon"
	"github.com/swiftvane/swiftvane/internal/exitcode"
	"github.com/swiftvane/swiftvane/internal/gctune"
	"github.com/swiftvane/swiftvane/internal/logging"
	"github.com/swiftvane/swiftvane/internal/settings"
)

// serve runs the daemon until a signal or an operator asks it to stop.
func serve(s *settings.Settings) error {
	gctune.Apply()
	log, err := logging.New(os.Stderr, s.Log.Level, s.Host.ID)
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
	case <-d.DrainAsked():
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return exitcode.With(exitcode.Forced, d.Stop(ctx))
}
