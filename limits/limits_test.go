package limits

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"moleshift/internal/golden"
)

func TestDoorTraces(t *testing.T) {
	for name, scene := range map[string]func(*stage){
		// One address takes what one address may have, and a stranger from elsewhere still gets in.
		"flood": func(st *stage) {
			st.say("%d of a flood are in", st.flood("10.0.0.1", 12))
			st.connect("10.0.1.1")
			st.books()
			st.pass(60)
			st.say("the flood goes on: %d more are in, each for one of its own", st.flood("10.0.0.1", 3))
			st.books()
		},
		// A network full of strangers: those who come late take from those who have most.
		"network": func(st *stage) {
			st.flood("10.0.0.1", 8)
			st.flood("10.0.0.2", 4)
			st.connect("10.0.0.3")
			st.pass(60)
			st.connect("10.0.0.3")
			st.connect("10.0.0.3")
			st.books()
		},
		// Strangers never get the reserve; who is known does, and takes from strangers once that is full too.
		"reserve": func(st *stage) {
			c := st.connect("10.9.0.1")
			st.serve(c, 0)
			st.serve(c, 0)
			st.drop(c)
			for i := range 18 {
				st.connect(fmt.Sprintf("10.%d.0.1", 10+i))
			}
			st.books()
			for range 6 {
				st.connect("10.9.0.1")
			}
			st.books()
			st.pass(60)
			st.connect("10.9.0.1")
			st.books()
		},
		// Many clients behind one address: tenants that were served before are told apart once their request
		// is read, and a flood from that address does not count against them.
		"shared-address": func(st *stage) {
			a := st.connect("10.0.0.1")
			for range 2 {
				st.serve(a, 0)
			}
			st.books()
			st.drop(a)
			st.flood("10.0.0.1", 12)
			st.books()
			st.pass(60)
			a = st.connect("10.0.0.1")
			st.serve(a, 0)
			st.books()
			st.flood("10.0.0.1", 9)
			st.books()
		},
		"too-fast": func(st *stage) {
			st.d.set.PerAddress = 0
			st.flood("10.0.0.1", 32)
			st.pass(20)
			st.connect("10.0.0.1")
			st.books()
		},
		// Descriptors run out before the cap: it falls, and comes back by steps once they are there again.
		"short": func(st *stage) {
			for i := range 12 {
				st.connect(fmt.Sprintf("10.%d.0.1", i))
			}
			st.d.Short(st.now, 8)
			st.books()
			st.pass(60)
			for y := st.d.Trim(st.offered()); y != nil; y = st.d.Trim(st.offered()) {
				st.say("%s makes way", st.names[y])
				st.drop(y)
			}
			st.say("%d links to leaves", st.d.Links(st.now))
			st.connect("10.50.0.1")
			for range 6 {
				st.pass(5000)
				st.connect("10.50.0.1")
				st.books()
			}
			st.say("%d links to leaves", st.d.Links(st.now))
		},
		// Settings change to less than is held: nobody is thrown out for that, and nobody comes in until
		// enough have gone.
		"less-than-held": func(st *stage) {
			for i := range 12 {
				st.connect(fmt.Sprintf("10.%d.0.1", i))
			}
			set := settings()
			set.Most, set.Reserve = 10, 2
			st.d.Change(set)
			st.books()
			st.connect("10.50.0.1")
			for range 5 {
				st.drop(st.conns[0])
			}
			st.connect("10.50.0.1")
			st.books()
		},
		"ipv6-and-mapped": func(st *stage) {
			st.flood("::ffff:10.0.0.1", 4)
			st.flood("10.0.0.1", 5)
			st.flood("2001:db8::1", 7)
			st.flood("2001:db8::2", 6)
			st.connect("2001:db8:0:100::1")
			st.books()
		},
	} {
		t.Run(name, func(t *testing.T) {
			st := open(settings())
			scene(st)
			golden.Check(t, name, st.out.String())
			for len(st.conns) > 0 {
				st.drop(st.conns[0])
			}
			even(t, st.d)
		})
	}
}

// Whatever strangers do, who is known finds room as long as one of them holds more than is fair; strangers
// never have the reserve; and the books come out even.
func TestDoorProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := settings()
		set.Most = rapid.IntRange(4, 40).Draw(t, "most")
		set.Reserve = rapid.IntRange(0, set.Most/2).Draw(t, "reserve")
		set.PerAddress = rapid.IntRange(0, set.Most).Draw(t, "per address")
		set.PerNetwork = rapid.IntRange(0, set.Most).Draw(t, "per network")
		set.Rate = rapid.SampledFrom([]float64{0, 50, 1000}).Draw(t, "rate")
		st := open(set)
		friend := "192.168.0.1"
		known := false
		t.Repeat(map[string]func(*rapid.T){
			"connect": func(t *rapid.T) {
				st.connect(
					fmt.Sprintf(
						"10.0.%d.%d",
						rapid.IntRange(0, 3).Draw(t, "net"),
						rapid.IntRange(1, 4).Draw(t, "host"),
					),
				)
			},
			"flood": func(t *rapid.T) { st.flood("10.7.7.7", rapid.IntRange(1, 60).Draw(t, "n")) },
			"serve": func(t *rapid.T) {
				if len(st.conns) > 0 {
					st.serve(
						rapid.SampledFrom(st.conns).Draw(t, "conn"),
						rapid.IntRange(0, 2).Draw(t, "tenant"),
					)
				}
			},
			"go": func(t *rapid.T) {
				if len(st.conns) > 0 {
					st.drop(rapid.SampledFrom(st.conns).Draw(t, "conn"))
				}
			},
			"wait":  func(t *rapid.T) { st.pass(rapid.IntRange(1, 500).Draw(t, "ms")) },
			"short": func(t *rapid.T) { st.d.Short(st.now, 8) },
			"friend": func(t *rapid.T) {
				if c := st.connect(friend); c != nil {
					st.serve(c, 1)
					st.serve(c, 1)
					known = true
					st.drop(c)
				}
			},
			"friend comes back": func(t *rapid.T) {
				// It holds nothing, has been served, and all connections are old enough to make way.
				st.pass(1000)
				if !known ||
					set.PerAddress == 1 && st.d.holderOf(st.now, netip.MustParseAddr(friend), -1).count > 0 {
					return
				}
				largest := 0
				for _, h := range st.d.holders {
					largest = max(largest, h.count)
				}
				if st.d.Over() > 0 ||
					st.d.held > 0 && largest < 2 && st.d.held >= st.d.most && st.d.held == st.d.strange &&
						st.d.reserve() < 1 {
					return // more is held than may be; or no reserve, and everybody holds one
				}
				if largest < 2 && st.d.held-st.d.strange >= st.d.reserve() && st.d.held >= st.d.most {
					return // those who are known fill their reserve, and each holds one
				}
				c := st.connect(friend)
				if c == nil {
					t.Fatalf("locked out: %v\n%s", st.d, st.out.String())
				}
				st.drop(c)
			},
			"": func(t *rapid.T) {
				if st.d.held != len(st.conns) || st.d.strange > st.d.held || st.d.held < 0 {
					t.Fatalf("held %d, strangers %d, there are %d", st.d.held, st.d.strange, len(st.conns))
				}
				for _, n := range st.d.networks {
					if n <= 0 {
						t.Fatal("a network holds none and is counted")
					}
				}
			},
		})
		for len(st.conns) > 0 {
			st.drop(st.conns[0])
		}
		even(t, st.d)
	})
}

// Under steady demand of all, shares become equal to within one wherever no cap stands in the way: the claim
// of the design note.
func TestSharesEvenOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := settings()
		set.PerAddress, set.PerNetwork, set.Rate, set.Reserve = 0, 0, 0, 0
		st := open(set)
		clients := rapid.IntRange(2, 9).Draw(t, "clients")
		from := func(i int) string { return fmt.Sprintf("10.%d.0.1", i) }
		st.flood(from(0), 40)
		for range 80 { // in turns that are drawn, each wants as many as it can have
			st.pass(60)
			st.connect(from(rapid.IntRange(0, clients-1).Draw(t, "who")))
		}
		for round := range 40 {
			st.pass(60)
			st.connect(from(round % clients))
		}
		shares := st.d.Largest(clients)
		if len(shares) != clients || shares[0].Count-shares[clients-1].Count > 1 {
			t.Fatalf("%v", shares)
		}
	})
}

// A flood of addresses that each get a query answered does not flush out those who come regularly, and the
// table never grows.
func TestKnownIsNotFlushed(t *testing.T) {
	k := NewKnown(3, 1024)
	regular := make([]netip.Addr, 100)
	for i := range regular {
		regular[i] = netip.AddrFrom4([4]byte{192, 168, 0, byte(i)})
		for range 4 {
			k.Answered(0, regular[i], -1)
		}
	}
	before := 0
	for _, a := range regular {
		if k.Knows(0, a, -1) {
			before++
		}
	}
	for i := range 200_000 {
		k.Answered(Time(i), netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), -1)
	}
	after := 0
	for _, a := range regular {
		if k.Knows(0, a, -1) {
			after++
		}
	}
	if before < 95 || after < before {
		t.Errorf("%d of 100 were known, %d after the flood", before, after)
	}
	if k.Places != 1024 || k.Knows(0, netip.MustParseAddr("10.0.0.1"), -1) {
		t.Errorf("%d places; one query is enough to be known", k.Places)
	}
	later := 7 * age
	for range 2 {
		k.Answered(later, regular[0], -1)
	}
	if !k.Knows(later, regular[0], -1) || k.Knows(later, regular[1], -1) {
		t.Error("who does not come is to be forgotten, who comes is not")
	}
}

// A floor is kept for its purpose whatever the others take; caps and the shared part hold.
func TestBook(t *testing.T) {
	portions := [purposes]Portion{Connections: {0.1, 0.5}, Queries: {0.2, 0.8}, Values: {0.3, 1}}
	b := NewBook(1000, portions)
	b.Strict = true
	take := func(p Purpose, n int64, want bool) {
		t.Helper()
		if b.Take(p, n) != want {
			t.Errorf("%v, %d more: not %v\n%v", p, n, want, b)
		}
	}
	take(Connections, 500, true)
	take(Connections, 1, false) // its cap
	take(Queries, 200, true)    // its floor, and no more: 400 are shared, all taken
	take(Queries, 1, false)
	take(Values, 300, true)
	take(Values, 1, false)
	take(GivenUp, 50, true) // only counted, but nobody else can have it
	if near := fmt.Sprint(b.Warnings()); near != "[connections queries values]" {
		t.Error(near)
	}
	if near := b.Warnings(); len(near) > 0 {
		t.Error("told twice", near)
	}
	b.Return(Connections, 450)
	take(Queries, 351, false)
	take(Queries, 350, true)
	b.Resize(400, portions) // to less than is held
	take(Queries, 1, false)
	take(Values, 1, false)
	b.Return(Values, 300)
	take(Values, 120, true)
	golden.Check(t, "book", b.String())
	defer func() {
		if recover() == nil {
			t.Error("more came back than was taken, and nobody minds")
		}
	}()
	b.Return(Connections, 51)
}

// What is put by for a query is enough for its values; what is larger than any was lately takes of what is
// free, or is cut; and all comes back.
func TestHold(t *testing.T) {
	var out strings.Builder
	b := NewBook(100_000, [purposes]Portion{Queries: {0.1, 0.3}, Values: {0.3, 0.6}})
	b.Strict = true
	r := NewRoom(b, 2)
	say := func(format string, args ...any) {
		fmt.Fprintf(
			&out,
			format+"; queries %d, values %d\n",
			append(args, b.Accounts[Queries].Held, b.Accounts[Values].Held)...)
	}
	var held []*Hold
	for {
		h, retry := r.Take(0, 0, 100, 2)
		if h == nil {
			say("after %d queries come back in %d", len(held), retry)
			break
		}
		held = append(held, h)
	}
	for _, h := range held { // small values: half of what is put by for them comes free as they end
		h.Value(100)
		h.Value(100)
		h.Answered()
		h.Done(500)
	}
	say("all done")
	for range 200 {
		h, _ := r.Take(0, 0, 100, 2)
		h.Value(100)
		h.Value(100)
		h.Done(500)
	}
	n := 0
	for ; ; n++ {
		h, _ := r.Take(0, 0, 100, 2)
		if h == nil {
			break
		}
		held = append(held, h)
	}
	say("now %d queries fit", n)
	h := held[len(held)-1]
	say("a value of 20000: %v", h.Value(20000))
	say("one of 60000: %v", h.Value(60000))
	h.Answered()
	say("answered: late values %v", h.Value(1))
	for _, h := range held {
		h.Done(900)
		h.Done(900)
	}
	say("all done, %d open", r.Open())
	for range 50 { // a vertical that brings more than has room is not barred for good: one at a time goes on
		h, _ := r.Take(1000, 1, 100, 9)
		if h == nil {
			t.Fatal("barred")
		}
		for range 9 {
			h.Value(20_000)
		}
		h.Done(1100)
	}
	golden.Check(t, "hold", out.String())
}

// FuzzEvents plays any sequence of events at all books at once; nothing may go below zero, pass a cap, or
// fail to come back.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("connect-serve-go-values-and-back"), uint16(1000))
	f.Add([]byte{0, 0, 0, 0, 1, 1, 2, 3, 3, 3, 4, 5, 5, 6, 7, 8, 9, 9, 9, 0, 2, 4, 6}, uint16(64))
	f.Fuzz(func(t *testing.T, events []byte, size uint16) {
		st := open(settings())
		b := NewBook(int64(size), Portions())
		b.Strict = true
		r := NewRoom(b, 2)
		var held []*Hold
		for i, e := range events {
			arg := int(e) >> 3
			switch e % 8 {
			case 0:
				st.connect(fmt.Sprintf("10.0.%d.1", arg))
			case 1:
				if len(st.conns) > 0 {
					st.serve(st.conns[arg%len(st.conns)], arg%3)
				}
			case 2:
				if len(st.conns) > 0 {
					st.drop(st.conns[arg%len(st.conns)])
				}
			case 3:
				if h, _ := r.Take(Time(i), arg%3, int64(arg), arg%4); h != nil {
					held = append(held, h)
				}
			case 4:
				if len(held) > 0 {
					held[arg%len(held)].Value(int64(arg) * 100)
				}
			case 5:
				if len(held) > 0 {
					held[arg%len(held)].Answered()
				}
			case 6:
				if len(held) > 0 {
					held[arg%len(held)].Done(Time(i))
				}
			case 7:
				st.pass(arg * 10)
				b.Resize(int64(size)*int64(arg)/16, Portions())
				st.d.Short(st.now, 8)
			}
			for p, a := range b.Accounts {
				if a.Held < 0 {
					t.Fatalf("%v holds %d", Purpose(p), a.Held)
				}
			}
		}
		for _, h := range held {
			h.Done(99999)
		}
		for len(st.conns) > 0 {
			st.drop(st.conns[0])
		}
		even(t, st.d)
		if b.Held() != 0 || b.beyond != 0 || b.Uneven != 0 {
			t.Errorf("not even:\n%v", b)
		}
	})
}
