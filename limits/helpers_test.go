package limits

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"
)

// TestMain has the draws be the same in each run; -rapid.seed on the command line draws others.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "20")
	os.Exit(m.Run())
}

// stage plays clients at a door and prints what becomes of them. All connections that are older than 50 ms
// can make way.
type stage struct {
	out   strings.Builder
	d     *Door
	now   Time
	conns []*Conn
	rank  map[*Conn]int
	names map[*Conn]string
	made  int
}

const tested = 20

func settings() DoorSettings {
	return DoorSettings{
		Enabled:    true,
		Most:       tested,
		Reserve:    5,
		PerAddress: 8,
		PerNetwork: 12,
		Bits4:      24,
		Bits6:      56,
		Rate:       100,
		Burst:      30,
	}
}

func open(set DoorSettings) *stage {
	return &stage{
		d:     NewDoor(set, NewKnown(7, 64)),
		now:   1_000_000,
		rank:  map[*Conn]int{},
		names: map[*Conn]string{},
	}
}

func (st *stage) say(format string, args ...any) {
	fmt.Fprintf(&st.out, "%6.1f  %s\n", float64(st.now-1_000_000)/10, fmt.Sprintf(format, args...))
}

func (st *stage) pass(ms int) { st.now += Time(ms) * Millisecond }

func (st *stage) offered() (all []Standing) {
	for _, c := range st.conns {
		if st.now-c.since >= 50*Millisecond {
			all = append(all, Standing{c, st.rank[c], c.since + 2200*Millisecond})
		}
	}
	return all
}

// connect has one client connect, as a driver does it. It is nil if it was turned away.
func (st *stage) connect(from string) *Conn {
	c, v, why, retry := st.d.Connect(st.now, netip.MustParseAddr(from))
	for v == Displace {
		y := st.d.Yield(c, why, st.offered())
		if y == nil {
			retry = st.d.Refused(st.now, c, why, st.offered())
			v = TurnAway
			break
		}
		st.say("%s makes way", st.names[y])
		st.d.Displaced(y)
		st.drop(y)
		if why = st.d.Crowded(c); why == Free {
			v = Admit
		}
	}
	if v == TurnAway {
		st.say("%s is turned away: %v, back in %.1f ms", from, why, float64(retry)/10)
		return nil
	}
	st.made++
	st.names[c] = fmt.Sprintf("%s#%d", from, st.made)
	st.conns = append(st.conns, c)
	st.rank[c] = 1
	return c
}

func (st *stage) drop(c *Conn) {
	st.d.Gone(c)
	st.conns = slices.DeleteFunc(st.conns, func(x *Conn) bool { return x == c })
}

// serve has a query answered on a connection, which is idle then.
func (st *stage) serve(c *Conn, tenant int) {
	st.d.Request(st.now, c, tenant)
	st.d.Answered(st.now, c, tenant)
	st.rank[c] = 2
}

// flood connects until the first is turned away, or so many times.
func (st *stage) flood(from string, n int) (in int) {
	for range n {
		if st.connect(from) != nil {
			in++
		}
	}
	return in
}

func (st *stage) books() { st.say("%v", st.d) }

// even fails unless everything that was taken has come back.
func even(t interface{ Errorf(string, ...any) }, d *Door) {
	if d.held != 0 || d.strange != 0 || len(d.networks) != 0 {
		t.Errorf("held %d, strangers %d, networks %v", d.held, d.strange, d.networks)
	}
	for _, h := range d.holders {
		if h.count != 0 {
			t.Errorf("%v tenant %d holds %d", h.from, h.tenant, h.count)
		}
	}
}
