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
	log := zerolog.New(os.Stdout).With().Timestamp().Logger()
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		log.Fatal().Err(err).Msg("configuration")
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	if err := router.Run(context.Background(), cfg, signals, log.Level(cfg.Log)); err != nil {
		log.Fatal().Err(err).Msg("ended by a fault")
	}
}
