// Command moleshiftd is the system's program: one process on each machine, with the data plane and the control plane in it.
//
// It reads flags, assembles the planes and gives the exit status; nothing else.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"moleshift/settings"
)

const exitUsage = 2

type options struct {
	LogLevel string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level of lines that are written"`
}

// common is what all subcommands share.
var common options

type nodeCommand struct{}

type checkCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"settings file; default: the one that MOLESHIFT_BOOT names"`
	} `positional-args:"yes"`
}

func main() {
	// Nothing is to be done at SIGHUP: what may change while a node runs comes from the controllers, and seeds are read from the file when
	// they are wanted. Until it is ignored it ends the process, however early it comes.
	signal.Ignore(syscall.SIGHUP)
	parser := flags.NewParser(&common, flags.Default)
	added(parser.AddCommand("node", "run a node", "Runs a node of the system with the settings file that MOLESHIFT_BOOT names, until SIGTERM.", &nodeCommand{}))
	added(parser.AddCommand("check", "check a settings file", "Reads a settings file and tells what a node would do with it, or what is wrong.", &checkCommand{}))
	if _, err := parser.Parse(); err != nil {
		var flagsError *flags.Error
		if errors.As(err, &flagsError) {
			if flagsError.Type == flags.ErrHelp {
				return
			}
			os.Exit(exitUsage)
		}
		os.Exit(1)
	}
}

func added(_ *flags.Command, err error) {
	if err != nil {
		panic(err)
	}
}

func logger() zerolog.Logger {
	level, err := zerolog.ParseLevel(common.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(os.Stdout).Level(level).With().Timestamp().Logger()
}

// Execute runs a node.
func (*nodeCommand) Execute([]string) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT) // one that comes during the start ends the node once it runs
	set, err := settings.Load(os.Getenv(settings.Variable))
	if err != nil {
		return err
	}
	return run(set, signals, logger().With().Str("node", set.NodeName).Logger())
}

// Execute checks a settings file.
func (c *checkCommand) Execute([]string) error {
	path := c.Args.File
	if path == "" {
		path = os.Getenv(settings.Variable)
	}
	set, err := settings.Load(path)
	if err != nil {
		return err
	}
	fmt.Printf("%s in %s (%s): clients at %s, servers and operator at %s, peers at %s\n", set.NodeName, set.Zone, set.Region,
		set.Listen.Front, set.Listen.Control, set.PeerAddress())
	if set.CountsForQuorum {
		fmt.Printf("counts for the quorum; state in %q\n", set.DataDir)
	}
	return nil
}
