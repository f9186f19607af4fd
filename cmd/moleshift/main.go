// Moleshift is the root node of a sharded search service, on sockets. This file owns the process: its
// environment, signals, log and exit status. It must hold nothing else; package router is the program.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"moleshift/config"
	"moleshift/router"
)

func main() {
	// One that is told to read its configuration anew must not end of it, however early that comes. A burst is
	// one, as the file is read after the signal was taken.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	end := make(chan os.Signal, 2)
	signal.Notify(end, syscall.SIGTERM, os.Interrupt)

	log := zerolog.New(os.Stdout).With().Timestamp().Logger()
	load := func() (*config.Config, error) { return config.Load(os.Getenv) }
	cfg, err := load()
	if err != nil {
		log.Fatal().Err(err).Msg("configuration")
	}
	signals := router.Signals{End: end, Reload: reload, Load: load}
	if err := router.Run(context.Background(), cfg, signals, log); err != nil {
		log.Fatal().Err(err).Msg("ended by a fault")
	}
}
