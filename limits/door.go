package limits

// door.go owns who may have a connection: caps by address and by network, a reserve for those who are known,
// and fair shares where connections run short. Every change of a connection's place passes place. It must
// never take a connection away from a holder for the sake of one that has as many, never give the reserve to
// a stranger, and never name for closing what the driver did not offer.

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"
)

// DoorSettings are the caps on connections of clients.
type DoorSettings struct {
	Enabled      bool // false: only Most counts, and nobody is told apart
	Most         int  // connections
	Reserve      int  // of these, for those who are known
	PerAddress   int
	PerNetwork   int // connections of strangers from one network
	Bits4, Bits6 int // of an address that make its network
	Rate         float64
	Burst        int // new connections of an address at once, and a second
	Listed       []netip.Prefix
}

// Verdict is what becomes of a new connection.
type Verdict int

const (
	Admit    Verdict = iota
	Displace         // once another makes way, see Yield
	TurnAway         // with an answer that says when to come back
)

func (v Verdict) String() string { return [...]string{"admit", "displace", "turn away"}[v] }

// Why tells what stood in the way.
type Why int

const (
	Free Why = iota
	TooFast
	AddressFull
	NetworkFull
	AllFull
	Exhausted // no descriptors are left
	whys
)

func (w Why) String() string {
	return [...]string{"free", "too many new ones", "address full", "network full", "all full", "no descriptors"}[w]
}

// holder is whose connections count together: an address, or a tenant behind it whose queries were answered
// lately, so that many clients behind one address are not one.
type holder struct {
	from   netip.Addr
	tenant int // -1: the address itself
	count  int
	bucket *rate.Limiter
	used   Time
}

type holderKey struct {
	from   netip.Addr
	tenant int
}

// Conn is one connection of a client.
type Conn struct {
	From    netip.Addr
	holder  *holder
	network netip.Prefix
	known   bool
	since   Time
	number  uint64 // in the order in which they came
	leaving bool
	gone    bool
}

// Known tells whether it counts as one of a client that is known.
func (c *Conn) Known() bool { return c.known }

// Standing is a connection that the driver could close without harm to a request, with how little would be
// lost: the lower the rank the less.
type Standing struct {
	Conn  *Conn
	Rank  int
	Until Time // to which it may stand as it does
}

// DoorCounts is what the door has met.
type DoorCounts struct {
	Admitted, Displaced int
	Turned              [whys]int
}

// Door is all connections of clients.
type Door struct {
	set      DoorSettings
	known    *Known
	holders  map[holderKey]*holder
	networks map[netip.Prefix]int // strangers
	held     int                  // not counting those that are leaving
	strange  int                  // of strangers
	most     int                  // less than the settings' where descriptors ran out
	links    int                  // to leaves, where descriptors ran out; 0: no cap
	shortAt  Time
	numbers  uint64

	Counts DoorCounts
}

// ShortPause is how long nobody is accepted after one was answered for want of descriptors, so that telling them
// does not become the work.
const ShortPause = 5 * Millisecond

// ComeBack is when a client should come back that was turned away where nothing better is known.
const ComeBack = 1000 * Millisecond

const (
	mostHolders = 4096               // addresses told apart at once; beyond that strangers count as one
	regainEvery = 5000 * Millisecond // without a shortage of descriptors, after which a part of the cap comes back
	regainPart  = 16                 // that part
	clientsOf   = 2                  // clients have two descriptors for each three of links to leaves, as package config shares them out
	linksOf     = 3
	spared      = 2  // for the list and for a file
	knownPace   = 16 // times the pace of strangers that a known address may have
	leastMost   = 4  // connections that are kept, whatever else takes descriptors
)

// NewDoor makes one. The table of known clients outlives changes of the settings.
func NewDoor(set DoorSettings, known *Known) *Door {
	d := &Door{known: known, holders: map[holderKey]*holder{}, networks: map[netip.Prefix]int{}}
	d.Change(set)
	return d
}

// Change takes over new settings, also of less than is held: then nobody is admitted until enough have gone.
func (d *Door) Change(set DoorSettings) {
	if set.Rate != d.set.Rate || set.Burst != d.set.Burst {
		for _, h := range d.holders {
			h.bucket = nil
		}
	}
	d.set = set
	d.most = set.Most
}

// Most is how many connections there may be now.
func (d *Door) Most() int { return d.most }

// Held is how many there are.
func (d *Door) Held() int { return d.held }

// Over is how many there are too many.
func (d *Door) Over() int { return d.held - d.most }

// listed: the settings name its network.
func (d *Door) listed(from netip.Addr) bool {
	return slices.ContainsFunc(d.set.Listed, func(p netip.Prefix) bool { return p.Contains(from) })
}

// network is the network that an address counts with.
func (d *Door) networkOf(from netip.Addr) netip.Prefix {
	bits := d.set.Bits6
	if from.Is4() {
		bits = d.set.Bits4
	}
	p, err := from.Prefix(bits)
	if err != nil { // no address, or a cap that makes no sense of it: its own network
		p = netip.PrefixFrom(from, from.BitLen())
	}
	return p
}

// holderOf finds or makes a holder. Beyond the bound strangers are one holder: they share what one may have.
func (d *Door) holderOf(now Time, from netip.Addr, tenant int) *holder {
	key := holderKey{from, tenant}
	if h := d.holders[key]; h != nil {
		return h
	}
	if len(d.holders) >= mostHolders {
		d.forget(now)
	}
	if len(d.holders) >= mostHolders {
		key = holderKey{netip.Addr{}, -1}
		if h := d.holders[key]; h != nil {
			return h
		}
	}
	h := &holder{from: key.from, tenant: key.tenant}
	d.holders[key] = h
	return h
}

// forget lets go of holders that have no connection and whose bucket is full again.
func (d *Door) forget(now Time) {
	for key, h := range d.holders { // each by itself: the order does not matter
		if h.count == 0 && (h.bucket == nil || float64(now-h.used)/10000*d.set.Rate >= float64(d.set.Burst)) {
			delete(d.holders, key)
		}
	}
}

// clockOf is a time as the buckets have it.
func clockOf(now Time) time.Time { return time.UnixMicro(int64(now) * 100) }

// fast: the address makes new connections faster than it may. One that is known may be shared by those who
// are served and one who floods; which of them connects shows only later. So its pace is held only where it
// would keep the router busy with nothing else; until then its silent connections make way for its new ones,
// see Yield.
func (d *Door) fast(now Time, h *holder, known bool) (bool, Time) {
	if d.set.Rate <= 0 {
		return false, 0
	}
	pace := rate.Limit(d.set.Rate)
	if known {
		pace *= knownPace
	}
	if h.bucket == nil {
		h.bucket = rate.NewLimiter(pace, max(d.set.Burst, 1))
	} else if h.bucket.Limit() != pace {
		h.bucket.SetLimitAt(clockOf(now), pace)
	}
	h.used = now
	if h.bucket.AllowN(clockOf(now), 1) {
		return false, 0
	}
	return true, Time(10000/float64(pace)) + 1
}

// place is the one way in which connections are counted: by holder, by network and in all.
func (d *Door) place(c *Conn, h *holder, known bool, by int) {
	h.count += by
	d.held += by
	if !known {
		d.strange += by
		if d.networks[c.network] += by; d.networks[c.network] == 0 {
			delete(d.networks, c.network)
		}
	}
}

// Connect decides on a new connection. Unless it is turned away it counts from now on, also while another has
// still to make way for it; then Gone must be told where none did.
func (d *Door) Connect(now Time, from netip.Addr) (c *Conn, v Verdict, why Why, retry Time) {
	d.regain(now)
	from = from.Unmap().WithZone("")
	d.numbers++
	c = &Conn{From: from, since: now, number: d.numbers, network: d.networkOf(from)}
	if !d.set.Enabled {
		c.holder = d.holderOf(now, netip.Addr{}, -1)
		d.place(c, c.holder, false, 1)
		d.Counts.Admitted++
		if why = d.Crowded(c); why != Free {
			return c, Displace, why, 0
		}
		return c, Admit, Free, 0
	}
	listed := d.listed(from)
	c.known = listed || d.known.Knows(now, from, -1)
	c.holder = d.holderOf(now, from, -1)
	if tooFast, wait := d.fast(now, c.holder, c.known); tooFast && !listed {
		d.Counts.Turned[TooFast]++
		return nil, TurnAway, TooFast, wait
	}
	d.place(c, c.holder, c.known, 1)
	d.Counts.Admitted++
	if why = d.Crowded(c); why != Free {
		return c, Displace, why, 0
	}
	return c, Admit, Free, 0
}

// Crowded tells which cap a connection that was just counted has passed, and still passes.
func (d *Door) Crowded(c *Conn) Why {
	switch {
	case !d.set.Enabled:
		if d.held > d.most {
			return AllFull
		}
		return Free
	case d.set.PerAddress > 0 && c.holder.count > d.perAddress() && !d.listed(c.From):
		return AddressFull
	case d.set.PerNetwork > 0 && !c.known && d.networks[c.network] > d.perNetwork():
		return NetworkFull
	case d.held > d.most, !c.known && d.strange > d.most-d.reserve():
		return AllFull
	}
	return Free
}

// Reserve is how many connections are kept for those who are known.
func (d *Door) Reserve() int { return d.reserve() }

// Remember has another table of known clients be used from now on, as when admission is switched on.
func (d *Door) Remember(known *Known) { d.known = known }

// reserve, perAddress and perNetwork fall with the cap.
func (d *Door) reserve() int    { return d.part(d.set.Reserve) }
func (d *Door) perAddress() int { return max(d.part(d.set.PerAddress), 1) }
func (d *Door) perNetwork() int { return max(d.part(d.set.PerNetwork), 1) }

func (d *Door) part(of int) int { return of * d.most / max(d.set.Most, 1) }

// Yield names the connection out of those offered that makes way for a new one; nil: none does. Where an
// address or a network is full, one of its own; else one of whoever holds the most, so that shares even out:
// never of a holder that would then have fewer than the newcomer, and for a stranger never one of the
// reserve. A holder's own connection that has said nothing for long may make way for its new one.
func (d *Door) Yield(c *Conn, why Why, offered []Standing) *Conn {
	best := -1
	for i := range offered {
		if o := &offered[i]; d.mayYield(c, why, o) && (best < 0 || d.sooner(c, o, &offered[best])) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	return offered[best].Conn
}

// The ranks of what is offered. Between them stand those that are idle after a request, and those whose
// request is long in coming.
const (
	Lingering = 0 // the last answer is out
	Silent    = 1 // has said nothing for longer than usual clients take
	Idle      = 2
	Endless   = 3
	Young     = 4 // has said nothing yet, which is usual; only where its holder has much more than the newcomer, or is the same
)

func (d *Door) mayYield(c *Conn, why Why, o *Standing) bool {
	x := o.Conn
	if x.leaving || x.gone || x == c && d.set.Enabled {
		return false
	}
	if o.Rank == Young && x.holder != c.holder && x.holder.count <= c.holder.count+1 {
		return false
	}
	if !d.set.Enabled { // the new one too, once it has had an answer
		return true
	}
	own := x.holder == c.holder && o.Rank <= Silent
	larger := x.holder.count > c.holder.count
	switch why {
	case AddressFull:
		return x.holder == c.holder && (o.Rank <= Silent || o.Rank == Young)
	case NetworkFull:
		return x.network == c.network && !x.known && (own || larger)
	}
	known := d.held - d.strange
	switch {
	case c.known && !x.known:
		return known <= d.reserve() || larger // within the reserve it need not be fair to strangers
	case c.known:
		return own || larger
	case !x.known:
		return own || larger
	default: // a stranger may have what those who are known hold beyond their reserve
		return larger && known > d.reserve() && d.strange <= d.most-d.reserve()
	}
}

// sooner orders those that may make way.
func (d *Door) sooner(c *Conn, a, b *Standing) bool {
	if !d.set.Enabled {
		return cmp.Or(
			cmp.Compare(a.Rank, b.Rank),
			cmp.Compare(a.Until, b.Until),
			cmp.Compare(a.Conn.number, b.Conn.number),
		) < 0
	}
	strangers := func(s *Standing) int {
		if s.Conn.known {
			return 1
		}
		return 0
	}
	first := 0
	if c == nil || c.known {
		first = cmp.Compare(strangers(a), strangers(b))
	}
	return cmp.Or(first, cmp.Compare(b.Conn.holder.count, a.Conn.holder.count), cmp.Compare(a.Rank, b.Rank),
		cmp.Compare(a.Until, b.Until), cmp.Compare(a.Conn.number, b.Conn.number)) < 0
}

// Refused takes back a connection for which nobody made way, and says when to come back: when the first of
// those offered must have ended, or soon.
func (d *Door) Refused(now Time, c *Conn, why Why, offered []Standing) (retry Time) {
	d.Gone(c)
	d.Counts.Admitted--
	d.Counts.Turned[why]++
	if len(offered) == 0 {
		return ComeBack
	}
	first := offered[0].Until
	for _, o := range offered {
		first = min(first, o.Until)
	}
	return min(max(first-now, minRetry), maxRetry)
}

// Request: a query's head has been read on a connection. If the tenant is known behind this address, the
// connection counts as that tenant's from now on, not as one of all that come from there, and does not count
// against their pace.
func (d *Door) Request(now Time, c *Conn, tenant int) {
	if !d.set.Enabled || c.gone || c.holder.tenant == tenant || !d.known.Knows(now, c.From, tenant) {
		return
	}
	if c.holder.tenant < 0 && c.holder.bucket != nil {
		c.holder.bucket.AllowN(clockOf(now), -1)
	}
	to := d.holderOf(now, c.From, tenant)
	if to.from != c.From || to.tenant != tenant { // too many are told apart already
		return
	}
	if !c.leaving {
		d.place(c, c.holder, c.known, -1)
		d.place(c, to, true, 1)
	}
	c.holder, c.known = to, true
	to.used = now
}

// Answered: a query that came by a connection was answered with what was asked for.
func (d *Door) Answered(now Time, c *Conn, tenant int) {
	if !d.set.Enabled {
		return
	}
	d.known.Answered(now, c.From, -1)
	d.known.Answered(now, c.From, tenant)
}

// Leaving: the driver has ended a connection; its descriptor is about to be free.
func (d *Door) Leaving(c *Conn) {
	if !c.leaving && !c.gone {
		c.leaving = true
		d.place(c, c.holder, c.known, -1)
	}
}

// Displaced: a connection has made way for a new one.
func (d *Door) Displaced(c *Conn) {
	d.Counts.Displaced++
	d.Leaving(c)
}

// Gone: a connection is no more.
func (d *Door) Gone(c *Conn) {
	d.Leaving(c)
	c.gone = true
}

// Short: descriptors have run out though the cap was not reached; whatever else holds them, there are not as
// many as were thought. What clients and links to leaves hold now is about all that there is: it is shared
// out as the settings would, and comes back by steps. Who is over the cap then makes way, see Trim.
func (d *Door) Short(now Time, links int) {
	d.Counts.Turned[Exhausted]++
	there := d.held + links
	d.most = max(min(d.most, there*clientsOf/(clientsOf+linksOf)), leastMost)
	d.links = max(there-d.most-spared, leastMost)
	d.shortAt = now
}

// Links is how many connections to leaves there may be; 0: as many as the settings say.
func (d *Door) Links(now Time) int {
	d.regain(now)
	return d.links
}

// Trim names the connection out of those offered that goes where more are held than may be; nil: none, or it
// is not so.
func (d *Door) Trim(offered []Standing) *Conn {
	if d.Over() <= 0 {
		return nil
	}
	best := -1
	for i := range offered {
		if x := offered[i].Conn; offered[i].Rank != Young && !x.leaving && !x.gone &&
			(best < 0 || d.sooner(nil, &offered[i], &offered[best])) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	return offered[best].Conn
}

// regain gives back a part of the cap for each while without a shortage.
func (d *Door) regain(now Time) {
	if d.most >= d.set.Most && d.links == 0 {
		return
	}
	if n := (now - d.shortAt) / regainEvery; n > 0 {
		step := max(d.set.Most/regainPart, 1)
		d.most = min(d.most+int(n)*step, d.set.Most)
		if d.links += int(n) * step; d.links >= d.set.Most*linksOf/clientsOf {
			d.links = 0
		}
		d.shortAt += n * regainEvery
	}
}

// Places is how many of those who are known are remembered.
func (d *Door) Places() int { return d.known.Used() }

// Share is what one holder has.
type Share struct {
	Holder string `json:"holder"`
	Count  int    `json:"connections"`
}

// Largest are those who hold the most.
func (d *Door) Largest(n int) (all []Share) {
	for _, h := range d.holders {
		if h.count == 0 {
			continue
		}
		name := "all"
		if h.from.IsValid() {
			name = h.from.String()
		}
		if h.tenant >= 0 {
			name += fmt.Sprintf(" tenant %d", h.tenant)
		}
		all = append(all, Share{name, h.count})
	}
	slices.SortFunc(
		all,
		func(a, b Share) int { return cmp.Or(b.Count-a.Count, cmp.Compare(a.Holder, b.Holder)) },
	)
	return all[:min(n, len(all))]
}

// String is the door's books in a few lines.
func (d *Door) String() string {
	var b strings.Builder
	fmt.Fprintf(
		&b,
		"held %d of %d, strangers %d, reserve %d, holders",
		d.held,
		d.most,
		d.strange,
		d.reserve(),
	)
	for _, s := range d.Largest(mostHolders) {
		fmt.Fprintf(&b, " [%s: %d]", s.Holder, s.Count)
	}
	return b.String()
}
