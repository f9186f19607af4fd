package server

import (
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
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
