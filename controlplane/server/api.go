package server

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"moleshift/controlplane/configuration"
	"moleshift/controlplane/registry"
	"moleshift/fault"
	"moleshift/internal/sock"
	"moleshift/peer"
)

const (
	maxOrderBody   = 8 << 20
	apiIdle        = 30 * time.Second
	beatCall       = 400 * time.Millisecond
	beatAll        = 850 * time.Millisecond // a server waits a second for its acknowledgement
	ifVersion      = "Moleshift-If-Version"
	instancePrefix = "/instances/"
	releasePrefix  = "/rollouts/"
	readSuffix     = "/read"
	stateDraining  = "draining"
)

// ServeAPI serves the operator's and the servers' interface until the listener is closed.
func (c *Controller) ServeAPI(l net.Listener) error {
	s := &fasthttp.Server{
		Handler: c.serveAPI, NoDefaultServerHeader: true, NoDefaultDate: true, MaxRequestBodySize: maxOrderBody,
		IdleTimeout: apiIdle, ReadBufferSize: 4096, Logger: sock.Quiet{},
	}
	return s.Serve(l)
}

func (c *Controller) serveAPI(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	post, get := ctx.IsPost(), ctx.IsGet()
	switch {
	case post && path == "/config/replace":
		c.serveConfig(ctx, configuration.Replace)
	case post && path == "/config/patch":
		c.serveConfig(ctx, configuration.Patch)
	case get && path == "/config/read":
		answerOrder(ctx, c.Order(&peer.Order{Kind: orderRead}))
	case post && path == "/version-put":
		answerOrder(ctx, c.Order(&peer.Order{Kind: orderVersion, Body: ctx.PostBody()}))
	case post && path == releasePrefix+"start":
		answerOrder(ctx, c.Order(&peer.Order{Kind: orderRelease, Body: ctx.PostBody()}))
	case get && strings.HasPrefix(path, releasePrefix) && strings.HasSuffix(path, readSuffix):
		service := strings.TrimSuffix(strings.TrimPrefix(path, releasePrefix), readSuffix)
		answerOrder(ctx, c.Order(&peer.Order{Kind: orderReleaseRead, Body: []byte(service)}))
	case post && strings.HasPrefix(path, instancePrefix):
		c.serveInstance(ctx, strings.TrimPrefix(path, instancePrefix))
	default:
		answerError(ctx, fault.New(fault.UnknownCall, "%s %s", ctx.Method(), path))
	}
}

func (c *Controller) serveConfig(ctx *fasthttp.RequestCtx, kind string) {
	version, err := strconv.ParseInt(string(ctx.Request.Header.Peek(ifVersion)), 10, 64)
	if err != nil {
		answerError(ctx, fault.New(fault.BadConfig, "%s must hold the version that the change builds on, 0 for the first", ifVersion))
		return
	}
	answerOrder(ctx, c.Order(&peer.Order{Kind: kind, IfVersion: version, Body: ctx.PostBody()}))
}

func answerOrder(ctx *fasthttp.RequestCtx, reply *peer.OrderReply) {
	if kind := fault.Kind(reply.Kind); kind != fault.None {
		answerError(ctx, &fault.Error{Kind: kind, Detail: reply.Text})
		return
	}
	if reply.Redirect != "" {
		ctx.Response.Header.Set(fasthttp.HeaderLocation, "http://"+reply.Redirect+string(ctx.Path()))
		ctx.SetStatusCode(fasthttp.StatusTemporaryRedirect)
		return
	}
	ctx.SetContentType("application/json")
	if reply.Body == nil {
		ctx.SetBodyString("{}")
		return
	}
	ctx.SetBody(reply.Body)
}

// answerError answers by the table of package fault, with what an operator can do.
func answerError(ctx *fasthttp.RequestCtx, err error) {
	answer := fault.KindOf(err).Answer()
	ctx.SetStatusCode(answer.Status)
	ctx.SetContentType("application/json")
	if answer.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(answer.RetryAfter.Seconds(), 'f', 2, 64))
	}
	body, _ := json.Marshal(map[string]string{"error": err.Error(), "remedy": answer.Remedy}) // strings always marshal
	ctx.SetBody(body)
}

// heartbeat is the body of a server's heartbeat.
type heartbeat struct {
	Service  string       `json:"service"`
	Address  string       `json:"address"`
	Zone     string       `json:"zone"`
	Version  softwareText `json:"version"`
	Slots    int          `json:"slots"`
	State    string       `json:"state"`
	ColdMs   float64      `json:"cold-remaining-ms"`
	Models   []peer.Model `json:"models"`
	Sequence int64        `json:"sequence"`
}

// softwareText is the version of a server's software: text, or whatever else JSON holds there, as it is written.
type softwareText string

// UnmarshalJSON takes any value: a heartbeat is not refused for how its server writes its version.
func (v *softwareText) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) != nil {
		text = string(data)
	}
	*v = softwareText(text)
	return nil
}

func (c *Controller) serveInstance(ctx *fasthttp.RequestCtx, rest string) {
	id, call, _ := strings.Cut(rest, "/")
	in := peer.Instance{ID: id, State: registry.Gone}
	switch {
	case id == "":
		answerError(ctx, fault.New(fault.BadRequest, "the path holds no instance"))
		return
	case call == "deregister":
	case call == "heartbeat":
		var h heartbeat
		if err := json.Unmarshal(ctx.PostBody(), &h); err != nil {
			answerError(ctx, fault.New(fault.BadRequest, "heartbeat of %s: %v", id, err))
			return
		}
		in = h.instance(id)
	default:
		answerError(ctx, fault.New(fault.UnknownCall, "%s", call))
		return
	}
	reply, err := c.Heartbeat(&peer.Beat{Instance: in})
	if err != nil {
		answerError(ctx, err)
		return
	}
	ctx.SetContentType("application/json")
	if reply.Owner == "" || reply.Owner == c.set.Listen.Control {
		ctx.SetBodyString("{}")
		return
	}
	body, _ := json.Marshal(map[string]string{"heartbeat-url": reply.Owner}) // strings always marshal
	ctx.SetBody(body)
}

func (h *heartbeat) instance(id string) peer.Instance {
	in := peer.Instance{
		ID: id, Service: h.Service, Address: h.Address, Zone: h.Zone, Slots: h.Slots, Sequence: h.Sequence, ColdMs: h.ColdMs,
		Models: h.Models, State: registry.Ready, Version: string(h.Version),
	}
	if h.State == stateDraining {
		in.State = registry.Draining
	}
	return in
}

// Heartbeat has a heartbeat taken by this node where it counts, else by a member.
func (c *Controller) Heartbeat(in *peer.Beat) (*peer.BeatReply, error) {
	if c.acceptor != nil && c.isMember() {
		return c.beat(in)
	}
	began := time.Now()
	for _, m := range c.directory.Try("instances-" + in.Instance.Service) {
		if m.Address == c.self.Address {
			continue
		}
		if time.Since(began)+beatCall > beatAll {
			break
		}
		var reply peer.BeatReply
		if err := c.caller.Call(m.Address, peer.CallBeat, in, &reply, beatCall); err == nil && reply.OK {
			return &reply, nil
		}
		c.directory.Failed(m.Address)
	}
	return nil, fault.New(fault.Unavailable, "no member took the heartbeat")
}
