package server

import (
	"encoding/json"
	"net"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"moleshift/controlplane/core"
	"moleshift/controlplane/registry"
	"moleshift/controlplane/rollout"
	"moleshift/controlplane/singleton"
	"moleshift/fault"
	"moleshift/internal/sock"
	"moleshift/peer"
	"moleshift/settings"
)

const (
	rolloutTick    = 100 * time.Millisecond
	leaseUse       = 1200 * time.Millisecond
	leaseMargin    = 200 * time.Millisecond
	reportEvery    = 250 * time.Millisecond
	firstReport    = 500 * time.Millisecond
	loadAtMost     = 6 * time.Second
	serverTimeout  = 600 * time.Millisecond
	orderPause     = 60 * time.Millisecond // routers hear that a server is about to load before it does
	modeWait       = "wait"                // runs end under the weights with which they began
	operationLoad  = "version"
	statusAccepted = 202
)

// runRollout brings servers to the versions that were named, while this node holds the lease.
func (c *Controller) runRollout() {
	b := c.set.Bounds
	rest := settings.Millis(b.LeaseMs+b.FreezeSlackMs) + leaseMargin
	watch := singleton.NewWatch(singleton.Settings{Use: leaseUse, Guard: leaseUse + rest}, c.self.ID)
	r := &roller{c: c, watch: watch, client: &fasthttp.Client{
		NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1, MaxConnsPerHost: 4, MaxIdleConnDuration: 2 * time.Second,
		Dial: func(address string) (net.Conn, error) { return sock.Dial(c.set.IP, address, serverTimeout) },
	}}
	ticker := time.NewTicker(rolloutTick)
	defer ticker.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-ticker.C:
			r.tick()
		}
	}
}

// roller carries the rollout out.
type roller struct {
	c      *Controller
	watch  *singleton.Watch // used by tick alone, but for Holds under the controller's lock
	client *fasthttp.Client
}

func (r *roller) tick() {
	k := r.c.registers.Known(core.Weights)
	state, err := readWeights(k.Value.Data)
	if err != nil || k.Confirmed.IsZero() {
		return
	}
	r.c.mu.Lock()
	r.watch.Observe(r.c.now(), state.Lease)
	live := r.c.table.Live()
	r.c.mu.Unlock()
	if !slices.ContainsFunc(live, func(in peer.Instance) bool { _, behind := state.Behind(&in); return behind }) {
		return
	}
	if !r.hold(state) {
		return
	}
	r.c.mu.Lock()
	busy := func(id string) bool { return r.c.loading[id] }
	steps := state.Next(live, busy, func(string) float64 { return 0 })
	for _, step := range steps {
		r.c.loading[step.Instance.ID] = true
	}
	r.c.mu.Unlock()
	for _, step := range steps {
		go r.load(step)
	}
}

// hold renews or takes the lease where that is due, and tells whether this node holds it.
func (r *roller) hold(state *rollout.State) bool {
	c := r.c
	c.mu.Lock()
	began := c.now()
	_, holds := r.watch.Holds(began)
	due := !holds || r.watch.Renew(began)
	may := r.watch.MayTake(began)
	over, next := r.watch.Next()
	c.mu.Unlock()
	if !due {
		return true
	}
	if !may || (state.Lease.Holder != c.self.ID && !c.first(core.Weights)) {
		return false
	}
	err := c.changeWeights(time.Now().Add(callTimeout), func(s *rollout.State) (*rollout.State, error) {
		if s.Lease != over {
			return nil, fault.New(fault.WrongVersion, "the lease has changed")
		}
		return &rollout.State{Versions: s.Versions, Lease: next}, nil
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		if next.Epoch != over.Epoch {
			c.log.Info().Uint64("epoch", next.Epoch).Msg("this node rolls new weights out")
		}
		r.watch.Written(began, c.now(), next)
	}
	_, holds = r.watch.Holds(c.now())
	return holds
}

// load orders one server to load and follows it until it has.
func (r *roller) load(step rollout.Step) {
	c, id := r.c, step.Instance.ID
	r.setLoading(step.Instance, true)
	defer func() {
		r.setLoading(step.Instance, false)
		c.mu.Lock()
		delete(c.loading, id)
		c.mu.Unlock()
	}()
	time.Sleep(orderPause)
	c.mu.Lock()
	epoch, holds := r.watch.Holds(c.now())
	c.mu.Unlock()
	if !holds {
		return
	}
	status, err := r.order(step, epoch)
	if err == nil && status != fasthttp.StatusOK && status != statusAccepted {
		c.log.Info().Str("instance", id).Int("status", status).Msg("server did not take the order to load")
		return
	}
	time.Sleep(firstReport)
	for began := time.Now(); time.Since(began) < loadAtMost; time.Sleep(reportEvery) {
		models, busy, err := r.report(step.Instance.Address)
		if err != nil || busy {
			continue
		}
		if rollout.VersionOf(models, step.Model.Name) < step.Model.Version {
			return // it did not take the order: another is given at the next tick
		}
		loaded := step.Instance
		loaded.Models, loaded.State = models, registry.Ready
		c.takeAll([]peer.Instance{loaded})
		c.push([]peer.Instance{loaded}, false, false)
		return
	}
}

func (r *roller) setLoading(in peer.Instance, loading bool) {
	in.Loading = loading
	r.c.mu.Lock()
	r.c.table.SetLoading(r.c.now(), in.ID, loading)
	r.c.mu.Unlock()
	r.c.notify()
	r.c.push([]peer.Instance{in}, true, false)
}

func (r *roller) order(step rollout.Step, epoch uint64) (int, error) {
	body, err := json.Marshal(map[string]any{
		"op": operationLoad, "model": step.Model.Name, "version": step.Model.Version, "mode": modeWait,
		"holder": r.c.self.ID, "fence-token": epoch,
	})
	if err != nil {
		return 0, err
	}
	status, _, err := r.do(fasthttp.MethodPost, step.Instance.Address, "/order", body)
	return status, err
}

func (r *roller) report(address string) ([]peer.Model, bool, error) {
	status, body, err := r.do(fasthttp.MethodGet, address, "/report", nil)
	if err != nil || status != fasthttp.StatusOK {
		return nil, true, err
	}
	var report struct {
		Models []peer.Model `json:"models"`
		Busy   bool         `json:"busy"`
	}
	if err := json.Unmarshal(body, &report); err != nil {
		return nil, true, err
	}
	return report.Models, report.Busy, nil
}

func (r *roller) do(method, address, path string, body []byte) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	if err := r.client.DoTimeout(req, resp, serverTimeout); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode(), slices.Clone(resp.Body()), nil
}
