package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"moleshift/controlplane/configuration"
	"moleshift/fault"
)

func table(t *testing.T) *Table {
	t.Helper()
	d, err := configuration.Parse([]byte(`{"version":3,"routes":[
	{"name":"short","host":"H.example","path-prefix":"/a/","route-type":"idempotent","timeout-ms":1,"service":"one"},
	{"name":"long","host":"h.example","path-prefix":"/a/b/","route-type":"streaming","timeout-ms":1,"service":"two","public":true},
	{"name":"split","host":"s.example","path-prefix":"/","route-type":"idempotent","timeout-ms":1,"traffic-split":[{"service":"one","weight":90},{"service":"two","weight":10}]}],
	"services":[{"name":"one"},{"name":"two"},{"name":"store","kv-store-addr":"10.0.0.1:1"}],
	"limits":{"max-body-bytes":1000,"idle-timeout-ms":1500},
	"tenants":[{"name":"t","api-keys":["k"],"isolated":true}]}`))
	must.NoError(t, err)
	return Compile(d)
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	x := table(t)
	must.Eq(t, "long", x.Route("h.example", "/a/b/c").Name)
	must.Eq(t, "short", x.Route("h.Example", "/a/bc").Name)
	must.Eq(t, "short", x.Route("h.example:80", "/a/").Name)
	must.Nil(t, x.Route("h.example", "/b/"))
	must.Nil(t, x.Route("h.example", "/a"))
	must.Nil(t, x.Route("other", "/a/"))
	must.Len(t, 1, x.Stores)
}

func TestKeys(t *testing.T) {
	x := table(t)
	keyed, public := x.Route("h.example", "/a/"), x.Route("h.example", "/a/b/")
	tenant, err := x.Tenant(keyed, "Token k")
	must.NoError(t, err)
	must.Eq(t, "t", tenant.Name)
	for _, wrong := range []string{"", "k", "Token", "Token other", "Bearer k"} {
		_, err := x.Tenant(keyed, wrong)
		must.Eq(t, fault.BadKey, fault.KindOf(err), must.Sprint(wrong))
	}
	tenant, err = x.Tenant(public, "")
	must.NoError(t, err)
	must.Nil(t, tenant)
	must.True(t, x.Keyed(keyed))
	must.False(t, x.Keyed(public))
}

func TestSplitFollowsItsWeights(t *testing.T) {
	x := table(t)
	r := x.Route("s.example", "/x")
	count := map[string]int{}
	for i := range 20000 {
		count[x.Service(r, fmt.Sprintf("%016x", i*7919)).Name]++
	}
	must.Between(t, 1600, count["two"], 2400)
	must.Eq(t, x.Service(r, "same"), x.Service(r, "same"))
	must.Eq(t, "one", x.Service(x.Route("h.example", "/a/"), "any").Name)
}

func TestLimits(t *testing.T) {
	x := table(t)
	must.Eq(t, 1000, x.MaxBody())
	must.Eq(t, 1500*time.Millisecond, x.Idle())
	var none *Table
	must.Eq(t, defaultHeader, none.MaxHeader())
	must.Eq(t, defaultHead, x.HeadTime())
	must.Eq(t, defaultBody, none.MaxBody())
	must.Eq(t, defaultIdle, none.Idle())
}
