// Package router is the program round the decision module: it takes queries from clients, carries out on
// sockets what package choice says, and tells it what came of that. It decides nothing: no choice among
// leaves, no time-out and no answer is made up here.
//
// router.go owns the start and the end of the program: the clock, the phases, the goroutines and the signals.
// It must never touch a query, a leaf or the module.
package router

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"moleshift/capture"
	"moleshift/choice"
	"moleshift/config"
	"moleshift/member"
)

// Phase is where the program stands between its start and its exit.
type Phase int32

const (
	Starting Phase = iota // nothing is taken yet
	Serving
	Draining // told to end: what still comes is taken and answered
	Closing  // nothing more is taken; what is open is answered, then all connections end
	Stopped
)

func (p Phase) String() string {
	return [...]string{"starting", "serving", "draining", "closing", "stopped"}[p]
}

// life holds the program's phase. The owner moves it on; everybody may look.
type life struct {
	phase atomic.Int32
	log   zerolog.Logger
}

func (l *life) now() Phase { return Phase(l.phase.Load()) }

// move is the one way from phase to phase; there is no way back.
func (l *life) move(to Phase) {
	if from := l.now(); to > from {
		l.phase.Store(int32(to))
		l.log.Info().Stringer("from", from).Stringer("to", to).Msg("phase")
	}
}

// clock reads times in tenths of a millisecond of Unix time that only move forward.
type clock struct{ base time.Time }

func (c clock) micros(t time.Time) int64 { return c.base.UnixMicro() + t.Sub(c.base).Microseconds() }

func (c clock) at(t time.Time) choice.Time { return choice.Time((c.micros(t) + 99) / 100) }

func (c clock) now() choice.Time { return c.at(time.Now()) }

// until is how long it is from now to a time.
func (c clock) until(t choice.Time) time.Duration {
	return time.Duration(int64(t)*100-c.micros(time.Now())) * time.Microsecond
}

// poke wakes whoever waits on a channel with room for one; more pokes before that are one.
func poke(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

func duration(t choice.Time) time.Duration { return time.Duration(t) * (time.Millisecond / 10) }

func tenths(d time.Duration) choice.Time { return choice.Time(d / (time.Millisecond / 10)) }

// dialer opens a connection; tests put connections without sockets in its place.
type dialer func(ctx context.Context, address string, limit time.Duration) (net.Conn, error)

func dialTCP(ctx context.Context, address string, limit time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: limit, KeepAlive: -1}).DialContext(ctx, "tcp", address)
}

// Signals is how the program is told to end, and to read its configuration anew.
type Signals struct {
	End, Reload <-chan os.Signal
	Load        func() (*config.Config, error)
}

// Run serves until it has drained after the first signal to end, or ends at once on the second.
func Run(ctx context.Context, cfg *config.Config, signals Signals, log zerolog.Logger) error {
	zerolog.SetGlobalLevel(cfg.Log)
	limit(cfg.Limits)
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	p := newProgram(ctx, cfg, listener, dialTCP, log)
	if err := p.more(); err != nil {
		p.stop()
		listener.Close()
		return err
	}
	return p.run(signals)
}

// more starts what the YAML file asks for.
func (p *program) more() error {
	cfg := p.owner.cfg.More
	var err error
	if p.owner.list.pace, err = paceOf(p.owner.cfg); err != nil {
		return err
	}
	if cfg.Members.Enabled {
		var handler *split
		err := p.owner.share(func(set member.Settings, h member.Handler) (peers, error) {
			handler = &split{Handler: h}
			m, err := member.Start(set, handler, nil, p.log)
			if err != nil {
				return nil, err
			}
			p.group.Go(func() error { return m.Run(p.ctx) })
			return m, nil
		})
		if err != nil {
			return err
		}
		if cfg.Leases.Enabled {
			if err := p.holdRights(handler); err != nil {
				return err
			}
		}
	}
	if c := cfg.Capture; c.Enabled {
		rec, err := capture.NewRecorder(capture.Settings{Dir: c.Dir, Router: p.owner.cfg.Name, Shards: p.owner.cfg.Settings.Module.Shards,
			Sample: c.Sample, Memory: int64(c.MemoryMB) << 20, File: int64(c.FileMB) << 20, Files: c.Files, Flush: c.Flush,
			KeyFile: c.KeyFile}, p.log)
		if err != nil {
			return err
		}
		p.owner.recording = &recording{rec, p.owner.clk.at(rec.Begun())}
		p.group.Go(func() error { return rec.Run(p.ctx) })
	}
	if cfg.Shards.Enabled {
		if err := p.owner.enableShards(); err != nil {
			return err
		}
		p.group.Go(func() error { return p.owner.ranging.run(p.ctx) })
		p.group.Go(func() error { return p.owner.ranging.keep(p.ctx, p.log) })
	}
	if cfg.Subset.Enabled {
		if err := p.owner.enableSubset(); err != nil {
			return err
		}
	}
	if cfg.OpenSearch.Enabled {
		if err := p.search(); err != nil {
			return err
		}
	}
	if cfg.Admin.Listen != "" {
		l, err := net.Listen("tcp", cfg.Admin.Listen)
		if err != nil {
			return fmt.Errorf("admin.listen: %w", err)
		}
		a := newAdmin(p.owner)
		p.group.Go(func() error { return a.run(p.ctx, l) })
	}
	return nil
}

// program is all that runs between the start and the end.
type program struct {
	ctx   context.Context
	stop  func()
	group *errgroup.Group
	phase *life
	owner *owner
	log   zerolog.Logger
}

func newProgram(ctx context.Context, cfg *config.Config, listener net.Listener, dial dialer,
	log zerolog.Logger) *program {
	ctx, stop := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	p := &program{ctx: ctx, stop: stop, group: group, phase: &life{log: log}, log: log}
	p.owner = newOwner(ctx, cfg, dial, p.phase, log, group, stop)
	p.owner.door = newDoor(cfg, p.owner, listener, log)
	log.Info().Str("name", cfg.Name).Str("listen", listener.Addr().String()).Int("leaves", len(cfg.Known.Servers)).
		Msg("up")
	return p
}

// run serves until the program has drained. Whatever part of it fails ends it whole.
func (p *program) run(signals Signals) error {
	defer p.stop()
	for name, part := range map[string]func(context.Context) error{
		"owner": p.owner.run, "list": p.owner.list.run, "door": p.owner.door.run,
	} {
		p.group.Go(func() error {
			defer p.lastWords(name)
			return part(p.ctx)
		})
	}
	p.group.Go(func() error {
		for n := 0; ; n++ {
			select {
			case <-p.ctx.Done():
				return nil
			case s := <-signals.End:
				if n > 0 {
					return fmt.Errorf("ended at once by a second signal: %v", s)
				}
				p.log.Info().Stringer("signal", s).Msg("told to end")
				p.owner.post(p.ctx, (*owner).drain)
			}
		}
	})
	p.group.Go(func() error { // apart from the others: reading a file may take its time
		for {
			select {
			case <-p.ctx.Done():
				return nil
			case <-signals.Reload:
				p.reload(signals.Load)
			}
		}
	})
	err := p.group.Wait()
	p.owner.door.listener.Close()
	p.owner.gate.close()
	p.phase.move(Stopped)
	return err
}

// reload reads the configuration anew. A faulty one changes nothing.
func (p *program) reload(load func() (*config.Config, error)) {
	cfg, err := load()
	if err != nil {
		p.log.Error().Err(err).Msg("configuration not taken over, the old one stands")
		return
	}
	p.owner.post(p.ctx, func(o *owner) { o.reload(cfg) })
}

// lastWords logs a panic, which then ends the program.
func (p *program) lastWords(name string) {
	if v := recover(); v != nil {
		p.log.WithLevel(zerolog.FatalLevel).Str("part", name).Str("panic", fmt.Sprint(v)).Msg("panic")
		panic(v)
	}
}

// limit keeps the process within what the machine gives: the collector works harder near the memory limit.
func limit(l config.Limits) {
	runtime.GOMAXPROCS(max(int(math.Ceil(l.Cores)), 1))
	debug.SetMemoryLimit(int64(l.MemoryMB) << 20 / 4 * 3)
}
