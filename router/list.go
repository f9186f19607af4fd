package router

// list.go owns the connections to discovery: it keeps a watch on the list of leaves open and tells the owner
// what that says, without delay. It must never judge what a change means.
//
// News counts as told 6 s after discovery had it and could be reached, whatever went wrong with calls before.
// So no call that hangs may hold up the next one: a watch that has said nothing for a third of the silence that
// ends it is joined by another, and the first that speaks stays. docs/design/crossings.md has the sum.

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"moleshift/choice"
	"moleshift/codec"
	"moleshift/config"
	"moleshift/pace"
)

const (
	listRing    = 16 << 10
	outRing     = 256
	mostWatches = 3 // open at once: one that is to be had, and those that have not spoken yet
)

type list struct {
	cfg        *config.Config
	owner      *owner
	log        zerolog.Logger
	generation int64
	asked      chan struct{} // the module asks for a watch
	moved      chan struct{} // discovery is elsewhere now
	pace       pace.Settings // when it asks again, if all lose the watch at once; the zero value: at once

	mu      sync.Mutex
	address string

	// Those of run.
	words   chan word
	watches []*watch  // open, oldest first
	spoke   *watch    // the one that is followed; nil: none has spoken yet
	next    time.Time // when to open another; zero: no time is set
	pause   time.Duration
	ends    int
	spread  bool // it has waited for its turn among all routers in this trouble
}

// watch is one call to discovery. Its goroutine reads it; all else is the list's.
type watch struct {
	cancel context.CancelFunc
	began  time.Time
	until  time.Time // it is given up then, if it has said nothing
}

// come is how far a call to discovery has come.
type come int

const (
	nothing come = iota
	up           // the connection
	headed       // the answer's head
)

// word is what a watch has said: an object, a sign of life, how far it has come without either, or that it has ended.
type word struct {
	from *watch
	text []byte // nil: an empty line
	come come
	err  error // why it ended
}

func newList(cfg *config.Config, o *owner, log zerolog.Logger) *list {
	return &list{cfg: cfg, owner: o, log: log, generation: cfg.Known.Generation, asked: make(chan struct{}, 1),
		moved: make(chan struct{}, 1), address: cfg.Discovery, words: make(chan word), pause: cfg.Settings.ConnectTimeout}
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
		poke(l.moved)
	}
}

// step is how long a call may say nothing before another is made beside it, and the longest pause between two.
func (l *list) step() time.Duration { return l.cfg.Silence / 3 }

// turn is how long it may where the list is asked for and the connection is up: calls wait there for their turn, and one
// that is made beside one that waits fails both.
func (l *list) turn() time.Duration { return l.cfg.Silence * 5 / 6 }

// run keeps a watch until the program ends. One that broke is opened anew at once, and ever later while that fails;
// where the list must be asked for the module says when to try again, but for calls beside those that hang.
func (l *list) run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	defer func() { l.drop(nil) }()
	if !l.cfg.Settings.Module.AskForList {
		l.next = time.Now()
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if due := l.due(); !due.IsZero() {
			timer.Reset(time.Until(due))
		} else {
			timer.Stop()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-l.moved:
			l.drop(nil)
			l.pause, l.spread = l.cfg.Settings.ConnectTimeout, false
			l.open(ctx, &running)
		case <-l.asked:
			if len(l.watches) == 0 {
				l.open(ctx, &running)
			}
		case w := <-l.words:
			l.hear(ctx, w)
		case <-timer.C:
			l.late(ctx, &running)
		}
	}
}

// due is when to look again.
func (l *list) due() time.Time {
	due := l.next
	for _, w := range l.watches {
		if due.IsZero() || w.until.Before(due) {
			due = w.until
		}
	}
	return due
}

// late gives up watches that have said nothing for too long, and opens another where it is time.
func (l *list) late(ctx context.Context, running *sync.WaitGroup) {
	now := time.Now()
	for _, w := range slices.Clone(l.watches) {
		if !w.until.After(now) {
			l.ended(ctx, w, errSilent)
		}
	}
	if !l.next.IsZero() && !l.next.After(now) {
		l.open(ctx, running)
	}
}

// open begins a call, beside those that have not spoken yet.
func (l *list) open(ctx context.Context, running *sync.WaitGroup) {
	if len(l.watches) == mostWatches {
		l.drop(l.watches[1:])
	}
	ctx, cancel := context.WithCancel(ctx)
	now := time.Now()
	w := &watch{cancel: cancel, began: now, until: now.Add(l.cfg.Silence)}
	l.watches = append(l.watches, w)
	l.next = now.Add(l.step())
	address, since := l.where(), l.generation
	running.Go(func() {
		err := l.watch(ctx, w, address, since)
		l.say(ctx, word{from: w, err: err})
	})
}

// drop closes all watches but some.
func (l *list) drop(but []*watch) {
	for _, w := range l.watches {
		if !slices.Contains(but, w) {
			w.cancel()
			if l.spoke == w {
				l.spoke = nil
			}
		}
	}
	l.watches = slices.Clone(but)
}

// hear takes what a watch says. The first that speaks is followed, and the others are closed.
func (l *list) hear(ctx context.Context, said word) {
	w := said.from
	if !slices.Contains(l.watches, w) { // closed meanwhile
		return
	}
	if said.err != nil {
		l.ended(ctx, w, said.err)
		return
	}
	if said.come != nothing {
		w.until = time.Now().Add(l.cfg.Silence)
		if l.spoke == nil && l.cfg.Settings.Module.AskForList {
			l.drop([]*watch{w}) // the others would only come up beside it
			l.next = time.Now().Add(l.turn())
			if said.come == headed { // it has had its turn
				l.next = time.Now().Add(l.step())
			}
		}
		return
	}
	if l.spoke != w {
		l.drop([]*watch{w})
		l.spoke, l.next, l.pause, l.spread = w, time.Time{}, l.cfg.Settings.ConnectTimeout, false
		l.owner.post(ctx, (*owner).ready)
	}
	w.until = time.Now().Add(l.cfg.Silence)
	if said.text == nil {
		return
	}
	if err := l.object(said.text); err != nil {
		l.ended(ctx, w, err)
	}
}

// ended: a watch is no more. Another is opened soon, unless one is under way.
func (l *list) ended(ctx context.Context, w *watch, err error) {
	l.log.Warn().Err(err).Int64("generation", l.generation).Dur("lasted", time.Since(w.began)).Msg("watch on the list ended")
	followed := l.spoke == w
	l.drop(slices.DeleteFunc(slices.Clone(l.watches), func(o *watch) bool { return o == w }))
	if errors.Is(err, errOrder) { // it knows less than was told before: only the whole list helps
		l.generation = 0
	}
	if len(l.watches) > 0 {
		return // the time for the next one is set
	}
	if followed && errors.Is(err, errSilent) { // it has been waited for
		l.next = time.Now()
		return
	}
	if l.cfg.Settings.Module.AskForList {
		l.failed(ctx)
		return
	}
	// A discovery that has ended did so for all routers. Once they are spread out they stay so.
	place := time.Duration(0)
	if !l.spread {
		l.ends++
		l.spread, place = true, min(duration(choice.Time(l.pace.Wait("list", l.ends))), l.step())
	}
	// What the agent has counts as told without a watch, too. One that ends each watch as it has spoken is not asked in a loop.
	if followed && time.Since(w.began) >= l.step() {
		l.next = time.Now().Add(place)
		return
	}
	l.next = time.Now().Add(l.pause + place)
	l.pause = min(2*l.pause, l.step())
}

// failed tells the module that the list could not be had.
func (l *list) failed(ctx context.Context) {
	l.next = time.Time{}
	l.owner.post(ctx, func(o *owner) { o.root.ListFailed(o.now) })
}

var (
	errSilent = errors.New("the watch fell silent")
	errOrder  = errors.New("the watch went back")
	errEnded  = errors.New("the watch ended")
)

// say tells the list what a watch has said, unless that was closed.
func (l *list) say(ctx context.Context, w word) error {
	select {
	case l.words <- w:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// watch reads one call to discovery until it ends, and says why it did.
func (l *list) watch(ctx context.Context, w *watch, address string, since int64) error {
	conn, err := l.owner.dial(ctx, address, l.cfg.Silence)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if err := l.say(ctx, word{from: w, come: up}); err != nil {
		return err
	}
	out := codec.NewWriter(conn, outRing)
	out.Write(codec.AppendGet(nil, address, fmt.Sprintf("/v1/servers?follow=1&since=%d", since)))
	if err := out.Flush(); err != nil {
		return err
	}
	ring, parser := codec.NewRing(listRing), codec.Parser{Responses: true}
	values := codec.Values{Most: l.cfg.MostLine}
	for {
		step, piece, err := parser.Next(ring)
		if err != nil {
			return err
		}
		switch step {
		case codec.More:
			if _, err := ring.Fill(conn); err != nil {
				return err
			}
		case codec.Begun:
			if parser.Head.Status != http.StatusOK {
				return fmt.Errorf("discovery answers %d", parser.Head.Status)
			}
			if err := l.say(ctx, word{from: w, come: headed}); err != nil {
				return err
			}
		case codec.Data:
			if err := values.Feed(piece, func(text []byte) error { return l.say(ctx, word{from: w, text: text}) }); err != nil {
				return err
			}
		case codec.Ended:
			return errEnded
		}
	}
}

// object takes one object of a watch.
func (l *list) object(text []byte) error {
	news, left, err := config.DecodeList(text)
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
