package router

import (
	"fmt"
	"net"
	"testing"

	"moleshift/config"
)

// Of five leaves with the same shards two are held: no other is asked, until one of the two can't be reached; then another stands in for
// it. A leaf that is listed anew changes nothing of what the rest do.
func TestHoldsAFew(t *testing.T) {
	few := func(c *config.Config) {
		c.Name = "n0"
		c.More.Subset.Enabled, c.More.Subset.Leaves = true, 2
	}
	play(t, "holds-a-few", 5, few, func(st *stage) {
		called, down := map[string]int{}, ""
		for _, name := range []string{"A", "B", "C", "D", "E", "F"} {
			st.leafAt(name, func(n int, frame string, conn net.Conn) {
				if called[name]++; name == down {
					conn.Close()
					return
				}
				answers(n, frame, conn)
			})
		}
		st.serve()
		st.step()
		held := st.owner.holding.keeper.Chosen()
		ask := func(from, to int) {
			for i := from; i < to; i++ {
				st.ask(st.connect(), request(fmt.Sprint("q", i), "search", 2000, i%4))
				st.pass(50)
			}
		}
		st.muted = true
		ask(0, 20)
		st.muted = false
		for name, n := range called {
			if n > 0 && !st.owner.holding.keeper.Holds(name) {
				t.Errorf("leaf %s is not held, and was asked %d times", name, n)
			}
		}
		if len(held) != 2 || called[held[0]]+called[held[1]] == 0 {
			t.Errorf("held %v, called %v", held, called)
		}
		st.say("held %v", held)
		st.muted = true
		st.step()
		down = held[0]
		st.places[at(down)] = func(net.Conn) error { return errRefused }
		ask(20, 60)
		st.muted = false
		now := st.owner.holding.keeper.Chosen()
		st.say("held %v", now)
		for _, name := range now {
			if name != down && called[name] == 0 {
				t.Errorf("leaf %s stands in, and was not asked", name)
			}
		}
	})
}

// A number that is missing, or not below the number of routers, is told with its key; with the pace off everything is at once.
func TestNumbers(t *testing.T) {
	for _, c := range []struct {
		name    string
		enabled bool
		stated  int
		want    string
	}{{"router", false, -1, ""}, {"n7", true, -1, ""}, {"router", true, 3, ""},
		{"router", true, -1, `pace.number: missing, and the name "router" does not end with a number`},
		{"n100", true, -1, "pace.number: 100 is not below the number of routers, 100"}} {
		set, err := config.DecodeSettings(1, []byte(settings))
		if err != nil {
			t.Fatal(err)
		}
		set.Module.Roots = 100
		cfg := &config.Config{More: config.DefaultFile(), Name: c.name, Settings: set}
		cfg.More.Pace.Enabled, cfg.More.Pace.Number = c.enabled, c.stated
		p, err := paceOf(cfg)
		got := ""
		if err != nil {
			got = err.Error()
		}
		if got != c.want {
			t.Errorf("%+v: %q", c, got)
		}
		if w := p.Wait("list", 1); (w > 0) != (c.enabled && err == nil) {
			t.Errorf("%+v: a wait of %d", c, w)
		}
	}
}

// A watch on the list that has ended is asked for again in this router's own turn.
func TestListInTurn(t *testing.T) {
	play(t, "list-in-turn", 1, func(c *config.Config) {
		c.Name, c.Settings.Module.Roots = "n42", 100
		c.More.Pace.Enabled, c.More.Pace.Rate = true, 100
	}, func(st *stage) {
		st.serve()
		st.pass(1000)
		for range 3 {
			st.say("the watch ends")
			st.feed <- "cut"
			st.pass(1500)
		}
	})
}
