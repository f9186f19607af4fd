package server

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"moleshift/controlplane/configuration"
	"moleshift/controlplane/core"
	"moleshift/fault"
)

// callAPI makes one call of the operator's interface.
func callAPI(c *Controller, method, path, body string) (status int, answer string) {
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI(path)
	ctx.Request.SetBodyString(body)
	c.serveAPI(&ctx)
	return ctx.Response.StatusCode(), string(ctx.Response.Body())
}

const releaseOrder = `{"service":"llm","target-version":"v2","deadline-s":12}`

// Guards against SHORT: an order for a release that nobody acknowledges.
func TestOrderOfAReleaseIsAcknowledged(t *testing.T) {
	l := newLan()
	members := startConfigured(t, l, newStore(), newStore(), newStore())
	status, answer := callAPI(members[0], "POST", "/rollouts/start", releaseOrder)
	must.Eq(t, 200, status, must.Sprint(answer))
	status, answer = callAPI(members[1], "GET", "/rollouts/llm/read", "")
	must.Eq(t, 200, status, must.Sprint(answer))
	must.Eq(t, `{"state":"running","target-version":"v2"}`, answer)
}

// An order that was acknowledged outlives a kill of all members, is carried out by whoever returns, and is final then; repeats and
// wrong orders have clear answers.
func TestReleaseOutlivesAKillOfAll(t *testing.T) {
	l := newLan()
	stores := []core.Store{newStore(), newStore(), newStore()}
	members := startConfigured(t, l, stores...)
	for _, row := range []struct {
		body   string
		status int
	}{
		{`{"service":"llm","target-version":"v2","deadline-s":0}`, 400},
		{`{"service":"none","target-version":"v2","deadline-s":2}`, 400},
		{`{"service":"llm","target-version":"v2","deadline-s":2}`, 200},
		{`{"service":"llm","target-version":"v2","deadline-s":2}`, 200},
		{`{"service":"llm","target-version":"v3","deadline-s":2}`, 409},
	} {
		status, answer := callAPI(members[0], "POST", "/rollouts/start", row.body)
		must.Eq(t, row.status, status, must.Sprint(row.body, answer))
	}
	status, _ := callAPI(members[0], "GET", "/rollouts/none/read", "")
	must.Eq(t, 404, status)
	l.kill(members...)
	for i := range members {
		members[i] = l.node(t, i+1, true, false, stores[i], coreSeeds...)
	}
	// No server of the version ever comes: it is rolled back in time, and said to be so by all.
	for _, c := range members {
		eventually(t, "rolled back", func() bool {
			status, answer := callAPI(c, "GET", "/rollouts/llm/read", "")
			return status == 200 && answer == `{"state":"rolled_back","target-version":"v2"}`
		})
	}
	status, answer := callAPI(members[1], "POST", "/rollouts/start", `{"service":"llm","target-version":"v2","deadline-s":2}`)
	must.Eq(t, 200, status, must.Sprint(answer))
	status, answer = callAPI(members[1], "GET", "/rollouts/llm/read", "")
	must.Eq(t, 200, status)
	must.Eq(t, `{"state":"rolled_back","target-version":"v2"}`, answer, must.Sprint("a late repeat begins nothing anew"))
}

// Guards against a proper order that is refused: the member that takes it has not yet heard of the configuration that brought the service.
func TestOrderAtAMemberThatLacksTheConfiguration(t *testing.T) {
	l := newLan()
	members := startConfigured(t, l, newStore(), newStore(), newStore())
	late := members[2]
	l.set(late.self.Address, true)
	must.Eq(t, fault.None, replace(members[0], 2, `{"version":3,"routes":[],"services":[{"name":"llm"},{"name":"new"}]}`))
	l.set(late.self.Address, false)
	must.NoError(t, late.startRelease(&configuration.Order{Body: []byte(`{"service":"new","target-version":"v2","deadline-s":12}`)}, time.Now().Add(time.Second)))
	err := late.startRelease(&configuration.Order{Body: []byte(`{"service":"none","target-version":"v2","deadline-s":12}`)}, time.Now().Add(time.Second))
	must.Eq(t, fault.BadConfig, fault.KindOf(err))
}
