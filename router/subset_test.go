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
