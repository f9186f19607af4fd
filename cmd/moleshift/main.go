// Moleshift is the root node of a sharded search service, on sockets. This file owns the process: its
// commands, environment, signals, log and exit status. It must hold nothing else; package router is the
// program.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"moleshift/config"
	"moleshift/internal/yamlfile"
	"moleshift/router"
)

type commands struct {
	Config string `env:"MOLESHIFT_CONFIG" placeholder:"FILE" help:"YAML file of all that the platform's configuration does not know. Off without it."`

	Serve   serveCmd   `cmd:"" default:"1" help:"Route queries until told to end. The default."`
	Check   checkCmd   `cmd:"" help:"Read a YAML file and tell what would run, or every fault in it."`
	Duties  statusCmd  `cmd:"" help:"Ask a running router who performs which shared duty, and when each was last done."`
	Leases  leasesCmd  `cmd:"" help:"Ask a running router who holds which right, under which token, and how its work goes."`
	Limits  limitsCmd  `cmd:"" help:"Ask a running router what connections and memory it holds, for whom and for what."`
	Version versionCmd `cmd:"" help:"Tell which build this is."`
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("moleshift"), kong.UsageOnError(),
		kong.Description("The query router (root node) of a sharded search service."))
	ctx.FatalIfErrorf(ctx.Run(&c))
}

// environment is the process's, with what the command line says instead.
func (c *commands) environment(name string) string {
	if name == "MOLESHIFT_CONFIG" {
		return c.Config
	}
	return os.Getenv(name)
}

type serveCmd struct{}

// Run serves. What goes wrong is told in the log, as the platform reads that.
func (*serveCmd) Run(c *commands) error {
	// One that is told to read its configuration anew must not end of it, however early that comes. A burst
	// is one, as the file is read after the signal was taken.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	end := make(chan os.Signal, 2)
	signal.Notify(end, syscall.SIGTERM, os.Interrupt)
	signal.Ignore(syscall.SIGXFSZ) // a file at its limit is an error for whoever writes it, not the end of the process

	log := zerolog.New(os.Stdout).With().Timestamp().Logger()
	load := func() (*config.Config, error) { return config.Load(c.environment) }
	cfg, err := load()
	if err != nil {
		log.Fatal().Err(err).Msg("configuration")
	}
	signals := router.Signals{End: end, Reload: reload, Load: load}
	if err := router.Run(context.Background(), cfg, signals, log); err != nil {
		log.Fatal().Err(err).Msg("ended by a fault")
	}
	return nil
}

type checkCmd struct {
	File string `arg:"" optional:"" help:"The YAML file; else the one that --config names."`
}

// Run reads the file as serve would, and with EDGE_CONFIG set the two together. Faults go to standard error,
// a line each.
func (k *checkCmd) Run(c *commands) error {
	if k.File != "" {
		c.Config = k.File
	}
	if c.Config == "" {
		return errors.New("no file is named")
	}
	file, err := config.LoadFile(c.Config)
	if err != nil {
		var faults yamlfile.Faults
		if errors.As(err, &faults) {
			fmt.Fprintln(os.Stderr, faults)
			return fmt.Errorf("%d faults", len(faults))
		}
		return err
	}
	cfg := &config.Config{More: file}
	if os.Getenv("EDGE_CONFIG") != "" {
		if cfg, err = config.Load(c.environment); err != nil {
			return err
		}
	}
	if err := router.Check(cfg); err != nil {
		return err
	}
	for _, line := range file.Describe() {
		fmt.Println(line)
	}
	return nil
}

type versionCmd struct{}

// Run tells what the build knows of itself.
func (*versionCmd) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Println("moleshift, of an unknown build")
		return nil
	}
	revision, modified := "of an unknown revision", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = ", changed since"
		}
	}
	fmt.Printf("moleshift %s%s, %s\n", revision, modified, info.GoVersion)
	return nil
}
