package wire

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"strings"

	"moleshift/choice"
	"moleshift/config"
)

// Serve answers batches from in on out until in ends. A fault in what it reads ends it.
func Serve(in io.Reader, out io.Writer) error {
	h := &host{in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<20),
		instances: map[string]*instance{}}
	for {
		line, err := h.readLine()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.event(line); err != nil {
			return h.declare(line, err)
		}
	}
}

// host serves the instances of one process. They share the clock of the batch and the numbered lists,
// which the wire sends once for all of them, and nothing else.
type host struct {
	in        *bufio.Reader
	out       *bufio.Writer
	lineNo    int
	inBatch   bool
	now       choice.Time
	lists     [16][]listed
	instances map[string]*instance
	acting    []*instance // have had an event in this batch
	named     string      // the instance of the event being read
}

func (h *host) readLine() (string, error) {
	line, err := h.in.ReadString('\n')
	if err == io.EOF && line != "" {
		h.lineNo++
		return "", fmt.Errorf("line %d: input ends within a line", h.lineNo)
	}
	if err == io.EOF && h.inBatch {
		return "", fmt.Errorf("line %d: input ends within a batch", h.lineNo)
	}
	if err != nil {
		return "", err
	}
	h.lineNo++
	return strings.TrimSuffix(line, "\n"), nil
}

// declare reports a fault: in plain words, and on the wire where the line names an instance.
func (h *host) declare(line string, err error) error {
	if len(line) > 120 {
		line = line[:120] + "..."
	}
	err = fmt.Errorf("line %d: %w: %q", h.lineNo, err, line)
	if h.named != "" {
		fmt.Fprintf(h.out, "PANIC %s %s\nDONE\n", h.named, strings.ReplaceAll(err.Error(), "\n", " "))
		h.out.Flush()
	}
	return err
}

func (h *host) event(line string) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("the decision code failed: %v", p)
		}
	}()
	h.named = ""
	f := newFields(line)
	name := f.word("message")
	if name != "CLOCK" && !h.inBatch {
		return fmt.Errorf("outside a batch")
	}
	switch name {
	case "CLOCK":
		if h.inBatch {
			return fmt.Errorf("the batch before has no FLUSH")
		}
		h.inBatch, h.now = true, config.CeilTime(f.number("clock"))
		return f.end()
	case "FLUSH":
		if err := f.end(); err != nil {
			return err
		}
		for _, in := range h.acting {
			h.named = in.name
			if err := in.take(); err != nil {
				return err
			}
			h.out.Write(in.said)
			in.said, in.acts = in.said[:0], false
		}
		h.acting, h.inBatch = h.acting[:0], false
		h.out.WriteString("DONE\n")
		return h.out.Flush()
	case "REGISTER":
		return h.register(f)
	}
	if f.err != nil {
		return f.err
	}
	if name == "" || !strings.Contains(" CONFIGURE SHUTDOWN TOPOLOGY NEW_REQUEST HEAD_RECEIVED DONE DROPPED "+
		"ELAPSED PROBE_DONE PEER_DATA ", " "+name+" ") {
		return fmt.Errorf("unknown message")
	}
	router := f.integer("router", 0, math.MaxInt32)
	if f.err != nil {
		return f.err
	}
	h.named = fmt.Sprint(router)
	if name == "CONFIGURE" {
		return h.configure(f)
	}
	in := h.instances[h.named]
	if in == nil {
		return fmt.Errorf("instance %s is not known", h.named)
	}
	in.act()
	switch name {
	case "NEW_REQUEST":
		return in.request(f)
	case "SHUTDOWN":
		in.kill()
		return f.end()
	}
	if err := in.take(); err != nil {
		return err
	}
	switch name {
	case "TOPOLOGY":
		return in.topology(f)
	case "HEAD_RECEIVED":
		return in.head(f)
	case "DONE":
		return in.done(f)
	case "DROPPED":
		id := f.id("id")
		if err := f.end(); err != nil {
			return err
		}
		held, err := in.find(id)
		if err == nil && held != nil && held.q != nil {
			in.root.Leave(h.now, held.q)
			in.release(held)
		}
		return err
	case "ELAPSED":
		if key := f.id("key_back"); f.err == nil && key != "wake" {
			return fmt.Errorf("no timer has the key %q", key)
		}
		if err := f.end(); err != nil {
			return err
		}
		in.root.Awake(h.now)
		return nil
	case "PROBE_DONE":
		l, err := in.leaf(f.node("node"))
		o, known := outcomes[f.id("how")]
		if !known {
			o = choice.Failed // a reason of the probe's own
		}
		f.number("elapsed")
		rep := f.report("gauge")
		if e := f.end(); e != nil || err != nil {
			return firstOf(e, err)
		}
		in.root.Probed(h.now, l, o, rep)
		return nil
	default: // PEER_DATA: nothing is shared between roots
		f.integer("src", 0, math.MaxInt32)
		f.word("raw")
		return f.end()
	}
}

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (h *host) register(f *fields) error {
	ref, n := f.integer("ref", 0, 15), f.integer("lines", 0, 1<<24)
	if err := f.end(); err != nil {
		return err
	}
	list := make([]listed, 0, min(n, 1<<12))
	for range n {
		line, err := h.readLine()
		if err == io.EOF {
			return fmt.Errorf("input ends within a list")
		}
		if err != nil {
			return err
		}
		l, err := parseEntry(line)
		if err != nil {
			return fmt.Errorf("line %d, %q: %w", h.lineNo, line, err)
		}
		list = append(list, l)
	}
	h.lists[ref] = list
	return nil
}

func (h *host) configure(f *fields) error {
	seed := f.word("rng_seed")
	facts := f.text("facts")
	if f.err != nil {
		return f.err
	}
	var n uint64
	if _, err := fmt.Sscan(seed, &n); err != nil {
		return fmt.Errorf("rng_seed is no whole number: %q", seed)
	}
	settings, err := config.DecodeSettings(n, []byte(facts))
	if err != nil {
		return fmt.Errorf("facts: %w", err)
	}
	s := settings.Module
	if old := h.instances[h.named]; old != nil {
		old.kill()
	}
	in := &instance{host: h, name: h.named, verticals: len(s.Verticals), shards: s.Shards,
		tenants: max(len(s.Tenants), 1), connectLimit: config.CeilTime(settings.ConnectTimeout.Seconds() * 1000), leaves: map[string]*choice.Leaf{}, nodes: map[*choice.Leaf]string{},
		held: map[string]*held{}, parts: map[*choice.Part]*held{}, queries: map[*choice.Query]*held{},
		numbers: map[string]*held{}}
	in.act()
	in.root = choice.NewRoot(s, in, h.now)
	h.instances[h.named] = in
	return nil
}

// kill makes an instance void, with what it said in this batch: that may name what its successor was never
// given.
func (in *instance) kill() {
	in.fresh, in.said = nil, nil
	delete(in.host.instances, in.name)
}

// held is a query or a part that this instance was given and still keeps.
type held struct {
	id     string
	number string
	q      *choice.Query
	p      *choice.Part
	parts  []*held
	calls  []*choice.LeafCall
	out    int // calls whose outcome has not come
	over   bool
	awaits int // parts still to come
}

// instance is one root with its tables of ids. It is the root's port.
type instance struct {
	host                       *host
	name                       string
	root                       *choice.Root
	verticals, shards, tenants int
	connectLimit               choice.Time // in which a connection is refused or comes up
	leaves                     map[string]*choice.Leaf
	nodes                      map[*choice.Leaf]string
	held                       map[string]*held // nil once let go: ids are never used again
	parts                      map[*choice.Part]*held
	queries                    map[*choice.Query]*held
	numbers                    map[string]*held
	fresh                      *held // its parts are coming in
	added                      []*choice.Part
	said                       []byte // in this batch
	acts                       bool
}

func (in *instance) find(id string) (*held, error) {
	h, known := in.held[id]
	if !known {
		return nil, fmt.Errorf("id %q was never given", id)
	}
	return h, nil
}

func (in *instance) leaf(node string) (*choice.Leaf, error) {
	l := in.leaves[node]
	if l == nil {
		return nil, fmt.Errorf("server %q is in no list", node)
	}
	return l, nil
}

func (in *instance) request(f *fields) error {
	id := f.id("id")
	deadline := config.FloorTime(f.number("drop_dead"))
	segment := int(f.integer("segment_no", -1<<31, int64(in.shards)-1))
	options := f.integer("options", 0, 1<<31)
	hint := f.number("size_hint")
	number := f.id("query")
	heft := f.number("heft")
	vertical := int(f.integer("tier_class", 0, int64(in.verticals)-1))
	tenant := int(f.integerOr("tenant", 0, int64(in.tenants)-1, 0))
	f.word("item")
	if err := f.end(); err != nil {
		return err
	}
	if _, twice := in.held[id]; twice {
		return fmt.Errorf("id %q comes twice", id)
	}
	if options&1 == 0 {
		hint = 0
	}
	if segment >= 0 {
		q, known := in.numbers[number]
		if !known {
			return fmt.Errorf("part of query %s, which was never given", number)
		}
		if q == nil { // ended by an earlier event of this batch
			in.held[id] = nil
			return nil
		}
		if in.fresh != q {
			if err := in.take(); err != nil {
				return err
			}
			in.fresh = q
		}
		p := &choice.Part{Shard: segment, Weight: heft, Hint: hint}
		h := &held{id: id, p: p}
		in.held[id], in.parts[p] = h, h
		q.parts = append(q.parts, h)
		in.added = append(in.added, p)
		if q.awaits--; q.awaits == 0 {
			return in.take()
		}
		return nil
	}
	if err := in.take(); err != nil {
		return err
	}
	if heft < 1 || heft != math.Trunc(heft) || heft > 1<<20 {
		return fmt.Errorf("a query of %v parts", heft)
	}
	q := &choice.Query{Deadline: deadline, Vertical: vertical, Tenant: tenant}
	h := &held{id: id, number: number, q: q, awaits: int(heft)}
	in.held[id], in.queries[q], in.numbers[number] = h, h, h
	in.fresh = h
	return nil
}

// act notes that the instance has an event in this batch.
func (in *instance) act() {
	if !in.acts {
		in.acts = true
		in.host.acting = append(in.host.acting, in)
	}
}

// take hands the root the query whose parts have all come.
func (in *instance) take() error {
	h := in.fresh
	if h == nil {
		return nil
	}
	if h.awaits > 0 {
		return fmt.Errorf("query %s lacks %d parts", h.id, h.awaits)
	}
	parts := in.added
	in.fresh, in.added = nil, nil
	if h.q.Parts == nil {
		in.root.Take(in.host.now, h.q, parts)
	} else {
		in.root.SecondStep(in.host.now, h.q, parts)
	}
	return nil
}

// release lets a query go with those of its parts that have no call out.
func (in *instance) release(h *held) {
	if h.over {
		return
	}
	h.over = true
	in.held[h.id] = nil
	delete(in.queries, h.q)
	in.numbers[h.number] = nil
	for _, p := range h.parts {
		p.over = true
		in.releasePart(p)
	}
}

func (in *instance) releasePart(p *held) {
	if p.over && p.out == 0 {
		in.held[p.id] = nil
		delete(in.parts, p.p)
	}
}

func (in *instance) topology(f *fields) error {
	f.integer("stamp", 0, math.MaxInt64)
	how := f.integer("how", 0, 3)
	if how == 2 {
		f.word("ref")
		if err := f.end(); err != nil {
			return err
		}
		in.root.ListFailed(in.host.now)
		return nil
	}
	ref := f.integer("ref", 0, 15)
	if err := f.end(); err != nil {
		return err
	}
	list := in.host.lists[ref]
	if list == nil {
		return fmt.Errorf("list %d was never given", ref)
	}
	entries := make([]choice.Entry, len(list))
	for i, l := range list {
		e := l.entry
		if e.Leaf = in.leaves[l.node]; e.Leaf == nil {
			e.Leaf = new(choice.Leaf)
			in.leaves[l.node], in.nodes[e.Leaf] = e.Leaf, l.node
		}
		entries[i] = e
	}
	in.root.List(in.host.now, entries, how != 0, how == 3)
	return nil
}

func (in *instance) call(id string, round int64) (*held, *choice.LeafCall, error) {
	h, err := in.find(id)
	if err != nil || h == nil {
		return nil, nil, err
	}
	if h.p == nil {
		return nil, nil, fmt.Errorf("id %q is a query's", id)
	}
	if round >= int64(len(h.calls)) {
		return nil, nil, fmt.Errorf("part %q has no leaf call %d", id, round)
	}
	return h, h.calls[round], nil
}

func (in *instance) head(f *fields) error {
	id := f.id("id")
	_, err := in.leaf(f.node("node"))
	f.number("elapsed")
	round := f.integer("round_no", 0, 1<<20)
	if e := f.end(); e != nil || err != nil {
		return firstOf(e, err)
	}
	_, c, err := in.call(id, round)
	if err == nil && c != nil {
		in.root.Started(in.host.now, c)
	}
	return err
}

func (in *instance) done(f *fields) error {
	id := f.id("id")
	final := f.bool("final")
	round := f.integer("round_no", 0, 1<<20)
	_, err := in.leaf(f.node("node"))
	o := f.outcome("how")
	elapsed := config.CeilTime(f.number("elapsed"))
	rep := f.report("gauge")
	if o == choice.NoConnection && elapsed < in.connectLimit { // else it never came up
		o = choice.Refused
	}
	if e := f.end(); e != nil || err != nil {
		return firstOf(e, err)
	}
	h, c, err := in.call(id, round)
	if err != nil || c == nil {
		return err
	}
	if !c.Ended() {
		h.out--
	}
	in.root.Outcome(in.host.now, c, o, elapsed, final, rep)
	in.releasePart(h)
	return nil
}

// What follows is the root's port.

func (in *instance) say(message string, args ...string) {
	in.said = append(append(append(in.said, message...), ' '), in.name...)
	for _, a := range args {
		in.said = append(append(in.said, ' '), a...)
	}
	in.said = append(in.said, '\n')
}

func (in *instance) Call(c *choice.LeafCall, timeout choice.Time) {
	h := in.parts[c.Part]
	h.calls = append(h.calls, c)
	h.out++
	in.say("RELAY", h.id, millis(timeout), in.nodes[c.Leaf])
}

func (in *instance) Cancel(c *choice.LeafCall) {
	h := in.parts[c.Part]
	for i, other := range h.calls {
		if other == c {
			in.say("UNDO_SEND", h.id, fmt.Sprint(i))
		}
	}
}

func (in *instance) Merge(q *choice.Query, whole bool) {
	on := "0"
	if whole {
		on = "1"
	}
	h := in.queries[q]
	in.say("ASSEMBLE", h.id, on)
	in.closed(h)
}

func (in *instance) Reject(q *choice.Query, holdOff choice.Time) {
	h := in.queries[q]
	in.say("BUSY", h.id, millis(holdOff))
	in.closed(h)
}

func (in *instance) Abort(q *choice.Query) {
	h := in.queries[q]
	in.say("ERROR", h.id)
	in.closed(h)
}

// closed lets a query go after its final answer, but not between two steps.
func (in *instance) closed(h *held) {
	if h.q.Over() {
		in.release(h)
	}
}

func (in *instance) Probe(l *choice.Leaf) { in.say("POLL", in.nodes[l]) }
func (in *instance) Watch()               { in.say("LISTEN", "1") }
func (in *instance) Wake(at choice.Time)  { in.say("SLEEP", millis(at), "wake") }
