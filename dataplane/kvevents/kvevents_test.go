package kvevents

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"moleshift/peer"
)

func TestParse(t *testing.T) {
	p, events, err := parse([]byte(`{"epoch":77120,"next-page-token":120,"lost":false,"events":[[119,"+","m@1/t","00ab",800,"m"],[120,"-","m@1","cd",0,"m"]]}`), position{})
	must.NoError(t, err)
	must.Eq(t, "77120", p.Epoch.String())
	must.Eq(t, "120", p.Next.String())
	must.Eq(t, []peer.Event{{Salt: "m@1/t", Part: "ab", Tokens: 800}, {Salt: "m@1", Part: "cd"}}, events)
	for _, wrong := range []string{
		"", "{", `{"next-page-token":2,"events":[[1,"+"]]}`, `{"next-page-token":2,"events":[[1,"+",2,"a",3,"m"]]}`,
		`{"epoch":1,"next-page-token":2,"held":[]}`, `{"epoch":1,"events":[]}`,
	} {
		_, _, err := parse([]byte(wrong), position{})
		must.Error(t, err, must.Sprint(wrong))
	}
}

func TestParseList(t *testing.T) {
	p, held, err := parseList([]byte(`{"epoch":77120,"next-page-token":120,"held":[["m@1/t","00ab",800,"m"]]}`))
	must.NoError(t, err)
	must.Eq(t, "77120", p.Epoch.String())
	must.Eq(t, "120", p.Next.String())
	must.Eq(t, []peer.Event{{Salt: "m@1/t", Part: "ab", Tokens: 800}}, held)
	for _, wrong := range []string{
		"", "{", `{"next-page-token":2,"held":[["s","a"]]}`, `{"next-page-token":2,"held":[[1,"a",2]]}`,
		`{"epoch":1,"next-page-token":2,"lost":false,"events":[]}`, `{"epoch":1,"held":[]}`,
	} {
		_, _, err := parseList([]byte(wrong))
		must.Error(t, err, must.Sprint(wrong))
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"epoch":1,"next-page-token":2,"events":[[1,"+","s","a",3,"m"]]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		p, events, err := parse(body, position{epoch: "1", since: "1"})
		if err == nil {
			must.Eq(t, len(p.Events), len(events))
		}
	})
}

func nodes(zones, each int) []peer.Node {
	var list []peer.Node
	for z := range zones {
		for n := range each {
			id := fmt.Sprintf("n%d-%d", z, n)
			list = append(list, peer.Node{ID: id, Address: id, Zone: fmt.Sprint("z", z)})
		}
	}
	return list
}

// Each holder has one collector, of its zone where there is one, and the holders are spread over the routers.
func TestCollectors(t *testing.T) {
	list := nodes(3, 30)
	count := map[string]int{}
	for i := range 140 {
		h := holderOf{id: fmt.Sprint("i", i), zone: fmt.Sprint("z", i%3)}
		c := collectorOf(h, list)
		must.StrHasPrefix(t, fmt.Sprintf("n%d-", i%3), c)
		count[c]++
	}
	for id, n := range count {
		must.LessEq(t, 6, n, must.Sprint(id))
	}
	must.NotEq(t, "", collectorOf(holderOf{id: "i", zone: "elsewhere"}, list))
	must.Eq(t, "", collectorOf(holderOf{id: "i"}, nil))
}

type sink struct {
	got, told map[string]int
	account   *peer.LoadAccount
}

func (s *sink) TakeEvents(list []peer.Events) {
	for _, e := range list {
		s.got[e.Holder]++
	}
}
func (s *sink) HolderState(string) []peer.Event { return nil }
func (s *sink) LoadAccount() *peer.LoadAccount {
	due := s.account
	s.account = nil
	return due
}
func (s *sink) TakeAccounts(list []peer.LoadAccount) {
	for _, a := range list {
		s.told[a.Router]++
	}
}

// What one router draws reaches every router once, and crosses each border between zones once.
func TestEventsReachAllOnce(t *testing.T) {
	for _, each := range []int{1, 6, 40} {
		reachAllOnce(t, nodes(4, each))
	}
}

func reachAllOnce(t *testing.T, list []peer.Node) {
	network := &memory{collectors: map[string]*Collector{}, crossed: map[string]int{}, sent: map[string]int{}, zones: map[string]string{}}
	sinks := map[string]*sink{}
	for _, n := range list {
		sinks[n.ID] = &sink{got: map[string]int{}, told: map[string]int{}, account: &peer.LoadAccount{Router: n.ID}}
		c := New("127.0.0.1", n, network, sinks[n.ID], zerolog.Nop())
		c.nodes = list
		c.drawing[n.ID] = make(chan struct{})
		c.send = func(to peer.Node, batch *peer.EventBatch) {
			network.sent[n.ID]++
			if to.Zone != n.Zone {
				network.crossed[n.Zone+" to "+to.Zone]++
			}
			c.call(to.Address, batch)
		}
		for _, other := range list {
			c.greeted[other.ID] = true
		}
		network.collectors[n.Address], network.zones[n.Address] = c, n.Zone
	}
	for _, n := range list {
		network.collectors[n.Address].learned(peer.Events{Holder: n.ID, List: []peer.Event{{Salt: "s", Part: "p", Tokens: 1}}})
	}
	for range 2 { // leaders spread what came from other zones at their next turn
		for _, step := range []func(c *Collector){(*Collector).passOn, func(c *Collector) { c.spread(list) }, (*Collector).passOut} {
			for _, n := range list {
				before := network.sent[n.ID]
				step(network.collectors[n.Address])
				must.LessEq(t, fanOut+1, network.sent[n.ID]-before, must.Sprintf("%s sends to too many at one turn", n.ID))
			}
		}
	}
	for _, n := range list {
		must.MapLen(t, len(list), sinks[n.ID].got)
		for holder, times := range sinks[n.ID].got {
			must.Eq(t, 1, times, must.Sprintf("%s at %s", holder, n.ID))
		}
	}
	for _, to := range list {
		for _, from := range list {
			if to.ID != from.ID {
				must.Eq(t, 1, sinks[to.ID].told[from.ID], must.Sprintf("account of %s at %s", from.ID, to.ID))
			}
		}
	}
	must.Len(t, 4*3, keys(network.crossed))
	for border, times := range network.crossed {
		must.Eq(t, 1, times, must.Sprint(border))
	}
}

func keys(m map[string]int) []string {
	var list []string
	for k := range m {
		list = append(list, k)
	}
	return list
}
