package router

// list.go owns the connection to discovery: it keeps one watch on the list of leaves and tells the owner what
// that says, without delay. It must never judge what a change means.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"moleshift/choice"
	"moleshift/codec"
	"moleshift/config"
	"moleshift/pace"
)

const (
	listRing = 16 << 10
	outRing  = 256
)

type list struct {
	cfg        *config.Config
	owner      *owner
	log        zerolog.Logger
	generation int64
	asked      chan struct{} // the module asks for a watch
	pace       pace.Settings // when it asks again, if all lose the watch at once; the zero value: at once

	mu      sync.Mutex
	address string
	cut     context.CancelFunc // ends the present watch, or the pause after it
}

func newList(cfg *config.Config, o *owner, log zerolog.Logger) *list {
	return &list{cfg: cfg, owner: o, log: log, generation: cfg.Known.Generation, asked: make(chan struct{}, 1),
		address: cfg.Discovery, cut: func() {}}
}

// ask has a watch opened, if there is none.
func (l *list) ask() { poke(l.asked) }

// where is the address of discovery now.
func (l *list) where() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// move has the list watched at another address from now on, whatever goes on at the old one: the new one tells
// what has changed since the generation that was last told.
func (l *list) move(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.address != address {
		l.address = address
		l.cut()
	}
}

// attempt is where the list is watched now, and a context that ends when it moves.
func (l *list) attempt(ctx context.Context) (context.Context, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut()
	ctx, l.cut = context.WithCancel(ctx)
	return ctx, l.address
}

// run keeps a watch until the program ends. Where the list must be asked for, the module says when to try
// again; else a watch that broke is opened anew, ever later while that fails. News counts as told some seconds
// after it was published, so the silence that ends a watch and the longest pause stay well under that together.
func (l *list) run(ctx context.Context) error {
	pause, ends := l.cfg.Settings.ConnectTimeout, 0
	for ctx.Err() == nil {
		if l.cfg.Settings.Module.AskForList {
			select {
			case <-ctx.Done():
				return nil
			case <-l.asked:
			}
		}
		attempt, address := l.attempt(ctx)
		told, err := l.watch(attempt, address)
		if ctx.Err() != nil {
			return nil
		}
		if attempt.Err() != nil {
			pause = l.cfg.Settings.ConnectTimeout
			poke(l.asked)
			continue
		}
		l.log.Warn().Err(err).Int64("generation", l.generation).Msg("watch on the list ended")
		if errors.Is(err, errOrder) { // it knows less than was told before: only the whole list helps
			l.generation = 0
		}
		if l.cfg.Settings.Module.AskForList {
			l.owner.post(ctx, func(o *owner) { o.root.ListFailed(o.now) })
			continue
		}
		if pause = min(2*pause, l.cfg.Silence/3); told {
			pause = l.cfg.Settings.ConnectTimeout
		}
		// A discovery that has ended did so for all routers.
		ends++
		select {
		case <-attempt.Done():
		case <-time.After(pause + duration(choice.Time(l.pace.Wait("list", ends)))):
		}
	}
	return nil
}

var (
	errSilent = errors.New("the watch fell silent")
	errOrder  = errors.New("the watch went back")
	errLong   = errors.New("a line is too long")
	errEnded  = errors.New("the watch ended")
)

// watch follows the list until the watch ends, and tells whether anything came.
func (l *list) watch(ctx context.Context, address string) (told bool, err error) {
	conn, err := l.owner.dial(ctx, address, l.cfg.Settings.ConnectTimeout)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(l.cfg.Silence))
	target := fmt.Sprintf("/v1/servers?follow=1&since=%d", l.generation)
	out := codec.NewWriter(conn, outRing)
	out.Write(codec.AppendGet(nil, address, target))
	if err := out.Flush(); err != nil {
		return false, err
	}
	ring, parser := codec.NewRing(listRing), codec.Parser{Responses: true}
	var line []byte
	for {
		step, piece, err := parser.Next(ring)
		if err != nil {
			return told, err
		}
		switch step {
		case codec.More:
			if _, err := ring.Fill(conn); err != nil {
				var late net.Error
				if errors.As(err, &late) && late.Timeout() {
					err = errSilent
				}
				return told, err
			}
		case codec.Begun:
			if parser.Head.Status != http.StatusOK {
				return told, fmt.Errorf("discovery answers %d", parser.Head.Status)
			}
		case codec.Data:
			for _, b := range piece {
				if b != '\n' {
					if line = append(line, b); len(line) > l.cfg.MostLine {
						return told, errLong
					}
					continue
				}
				if err := l.line(line); err != nil {
					return told, err
				}
				line, told = line[:0], true
				conn.SetDeadline(time.Now().Add(l.cfg.Silence)) // part of a line that never ends is silence too
			}
		case codec.Ended:
			return told, errEnded
		}
	}
}

// line takes one line of the watch. Empty ones only show that it is alive.
func (l *list) line(line []byte) error {
	if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
		return nil
	}
	news, left, err := config.DecodeList(line)
	if err != nil {
		return err
	}
	if len(left) > 0 {
		l.log.Warn().Errs("entries", left).Msg("entries of the list left out")
	}
	if news.Generation < l.generation && !news.Whole {
		return errOrder
	}
	l.generation = news.Generation
	// Not bound to this watch: what counts as told must not be dropped because the list has moved just now.
	l.owner.post(l.owner.ctx, func(o *owner) {
		o.log.Info().Int64("generation", news.Generation).Bool("whole", news.Whole).Int("entries", len(news.Servers)).
			Msg("list")
		o.news(news, false)
	})
	return nil
}
