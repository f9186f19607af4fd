package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"moleshift/fault"
)

const whole = `{"version":%d,"extra":{"kept":true},
"routes":[{"name":"r1","host":"h.example","path-prefix":"/a/","route-type":"streaming","timeout-ms":4000,"service":"llm","unknown":1},
{"name":"r2","host":"h.example","path-prefix":"/b/","route-type":"non_idempotent","timeout-ms":3000,"traffic-split":[{"service":"llm","weight":90},{"service":"other","weight":10}]}],
"services":[{"name":"llm"},{"name":"other"},{"name":"store","kv-store-addr":"10.0.0.1:80"}],
"limits":{"max-header-bytes":16384},
"tenants":[{"name":"t1","api-keys":["k1","k2"]},{"name":"t2","api-keys":["k3"]}]}`

func body(version int) []byte { return []byte(fmt.Sprintf(whole, version)) }

func apply(t *testing.T, s *State, kind string, ifVersion int64, text string) *State {
	t.Helper()
	next, result, err := s.Apply(&Order{Kind: kind, IfVersion: ifVersion, Body: []byte(text)})
	must.NoError(t, err)
	must.Eq(t, Applied, result)
	return next
}

func kindOf(t *testing.T, s *State, kind string, ifVersion int64, text string) fault.Kind {
	t.Helper()
	_, _, err := s.Apply(&Order{Kind: kind, IfVersion: ifVersion, Body: []byte(text)})
	return fault.KindOf(err)
}

func TestInvalidConfigurations(t *testing.T) {
	valid := string(body(5))
	_, err := Parse(body(5))
	must.NoError(t, err)
	for name, change := range map[string][2]string{
		"cut short":             {`"tenants"`, ``},
		"unknown service":       {`"service":"llm"`, `"service":"nobody"`},
		"unknown in a split":    {`"service":"other"`, `"service":"nobody"`},
		"same place":            {`/b/`, `/a/`},
		"no weight":             {`"weight":90},{"service":"other","weight":10}`, `"weight":0},{"service":"other","weight":0}`},
		"weight below 0":        {`"weight":10`, `"weight":-1`},
		"no timeout":            {`"timeout-ms":4000`, `"timeout-ms":0`},
		"shared key":            {`"k3"`, `"k1"`},
		"route to a store":      {`"service":"llm"`, `"service":"store"`},
		"prefix without end":    {`/b/`, `/b`},
		"unknown type":          {`non_idempotent`, `sometimes`},
		"version 0":             {`"version":5`, `"version":0`},
		"more behind":           {`"api-keys":["k3"]}]}`, `"api-keys":["k3"]}]} {}`},
		"a brace too many":      {`"api-keys":["k3"]}]}`, `"api-keys":["k3"]}]}}`},
		"a bracket too many":    {`"api-keys":["k3"]}]}`, `"api-keys":["k3"]}]}]`},
		"a comma behind":        {`"api-keys":["k3"]}]}`, `"api-keys":["k3"]}]},`},
		"a NUL behind":          {`"api-keys":["k3"]}]}`, `"api-keys":["k3"]}]}` + "\x00"},
		"service without name":  {`{"name":"other"}`, `{}`},
		"timeout of wrong type": {`"timeout-ms":4000`, `"timeout-ms":"long"`},
	} {
		t.Run(name, func(t *testing.T) {
			must.StrContains(t, valid, change[0])
			_, err := Parse([]byte(strings.Replace(valid, change[0], change[1], 1)))
			must.Eq(t, fault.BadConfig, fault.KindOf(err))
		})
	}
}

func TestPatchKeepsWhatItDoesNotName(t *testing.T) {
	s := apply(t, &State{}, Replace, 0, string(body(5)))
	s = apply(t, s, Patch, 5, `{"version":9,"upsert":{"routes":[{"name":"r1","host":"h.example","path-prefix":"/c/","route-type":"streaming","timeout-ms":1,"service":"llm"},
		{"name":"r3","host":"x","path-prefix":"/","route-type":"idempotent","timeout-ms":1,"service":"llm"}]},"remove":{"routes":["r2","never-there"],"tenants":["t2"]}}`)
	var got map[string]json.RawMessage
	must.NoError(t, json.Unmarshal(s.Body, &got))
	must.Eq(t, `{"kept":true}`, string(got["extra"]))
	d, err := Parse(s.Body)
	must.NoError(t, err)
	must.Eq(t, 9, d.Version)
	must.Len(t, 2, d.Routes)
	must.Eq(t, "/c/", d.Routes[0].PathPrefix)
	must.Eq(t, "r3", d.Routes[1].Name)
	must.Len(t, 1, d.Tenants)
	must.Len(t, 3, d.Services)
}

// The same order has one outcome however often and whenever it comes.
func TestOrdersThatComeAgain(t *testing.T) {
	first := &Order{Kind: Replace, Body: body(5)}
	s, result, err := (&State{}).Apply(first)
	must.NoError(t, err)
	must.Eq(t, Applied, result)
	later := apply(t, s, Replace, 5, string(body(7)))
	for _, state := range []*State{s, later} {
		same, result, err := state.Apply(first)
		must.NoError(t, err)
		must.Eq(t, Already, result)
		must.Eq(t, state.Version, same.Version)
	}
	must.Eq(t, fault.WrongVersion, kindOf(t, later, Replace, 5, strings.Replace(string(body(7)), "k3", "k9", 1)), must.Sprint("another change under a number that is taken"))
	must.Eq(t, fault.WrongVersion, kindOf(t, later, Replace, 5, string(body(8))), must.Sprint("built on an older version"))
	must.Eq(t, fault.BadConfig, kindOf(t, later, Replace, 7, string(body(6))), must.Sprint("a version below the current one"))
	must.Eq(t, fault.WrongVersion, kindOf(t, later, Patch, 5, `{"version":9}`))
	must.Eq(t, fault.BadConfig, kindOf(t, later, Patch, 7, `{"version":9,"upsert":{"routes":[{"host":"nameless"}]}}`))
	must.Eq(t, fault.BadConfig, kindOf(t, later, Patch, 7, `{"version":9,"remove":{"services":["llm"]}}`), must.Sprint("routes name it still"))
}

func TestRememberedOrdersAreBounded(t *testing.T) {
	s := &State{}
	for v := 1; v <= rememberedOrders+50; v++ {
		s = apply(t, s, Replace, s.Version, string(body(v)))
	}
	must.Len(t, rememberedOrders, s.Orders)
	must.Eq(t, int64(rememberedOrders+50), s.Orders[rememberedOrders-1].Version)
}

func FuzzApply(f *testing.F) {
	f.Add(Replace, int64(0), body(5))
	f.Add(Patch, int64(5), []byte(`{"version":9,"upsert":{"routes":[]},"remove":{"tenants":["t1"]}}`))
	f.Fuzz(func(t *testing.T, kind string, ifVersion int64, text []byte) {
		base := &State{Version: 5, Body: body(5)}
		next, _, err := base.Apply(&Order{Kind: kind, IfVersion: ifVersion, Body: text})
		if err != nil {
			var e *fault.Error
			must.True(t, errors.As(err, &e))
			return
		}
		must.Greater(t, base.Version, next.Version)
		_, err = Parse(next.Body)
		must.NoError(t, err, must.Sprint("what is taken is valid"))
	})
}

// An order older than all that is remembered gets no clear answer: it may have been taken, and then it must not be refused.
func TestOrdersOlderThanWhatIsRemembered(t *testing.T) {
	state := &State{}
	change := func(base, version int64) *Order {
		return &Order{Kind: Replace, IfVersion: base, Body: fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[]}`, version)}
	}
	for version := int64(1); version <= rememberedOrders+10; version++ {
		next, result, err := state.Apply(change(version-1, version))
		must.NoError(t, err)
		must.Eq(t, Applied, result)
		state = next
	}
	_, _, err := state.Apply(change(2, 3))
	must.Eq(t, fault.Unavailable, fault.KindOf(err))
	_, result, err := state.Apply(change(rememberedOrders-1, rememberedOrders))
	must.NoError(t, err)
	must.Eq(t, Already, result)
	_, _, err = state.Apply(change(3, rememberedOrders+20))
	must.Eq(t, fault.WrongVersion, fault.KindOf(err))
}
