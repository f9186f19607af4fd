package server

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"moleshift/controlplane/core"
	"moleshift/controlplane/quorum"
	"moleshift/controlplane/registry"
	"moleshift/controlplane/rollout"
	"moleshift/controlplane/singleton"
	"moleshift/fault"
	"moleshift/internal/servercall"
	"moleshift/peer"
	"moleshift/settings"
)

const (
	rolloutTick    = 100 * time.Millisecond
	leaseUse       = 1200 * time.Millisecond
	leaseMargin    = 200 * time.Millisecond
	reportEvery    = 150 * time.Millisecond
	loadAtMost     = 20 * time.Second // from the order to the new weights, with the runs that end before
	takenWithin    = time.Second      // after which a server that is not busy and has the old weights has not taken an order
	serverTimeout  = 600 * time.Millisecond
	serverConns    = 4
	serverIdle     = 2 * time.Second
	emptyAfter     = 300 * time.Millisecond // from word to the routers to the order: what waits in the server's queue begins meanwhile
	lastsAfter     = 3 * time.Second        // a server whose runs have not ended by then lets others have their turn
	modeWait       = "wait"                 // runs end under the weights with which they began
	operationLoad  = "version"
	statusAccepted = 202
	headerExpect   = "Moleshift-Expect-Instance"
)

// runRollout brings servers to the versions that were named, while this node holds the lease.
func (c *Controller) runRollout() {
	b := c.set.Bounds
	rest := settings.Millis(b.LeaseMs+b.FreezeSlackMs) + leaseMargin
	lease := singleton.Settings{Use: leaseUse, Guard: leaseUse + rest}
	if b.Fencing {
		lease.Gone = leaseUse + leaseMargin
	}
	watch := singleton.NewWatch(lease, c.self.ID)
	r := &roller{c: c, watch: watch, client: servercall.New(servercall.Settings{
		IP: c.set.IP, DialTimeout: serverTimeout, PerServer: serverConns, Idle: serverIdle,
	})}
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
	watch  *singleton.Watch // guarded by the controller's lock
	client *servercall.Client
}

func (r *roller) tick() {
	k := r.c.registers.Known(core.Weights)
	state, err := readWeights(k.Value.Data)
	if err != nil || k.Confirmed.IsZero() {
		return
	}
	r.c.mu.Lock()
	r.watch.Observe(r.c.now(), state.Lease)
	live := withoutRetired(r.c.table.Live(), state.Releases)
	r.c.mu.Unlock()
	if !slices.ContainsFunc(live, func(in peer.Instance) bool { _, behind := state.Behind(&in, nil); return behind }) {
		return
	}
	r.c.noteNamings()
	if !r.hold(state) {
		return
	}
	requests := lo.SliceToMap(live, func(in peer.Instance) (string, float64) { return in.ID, r.c.loadOf(in.ID) })
	r.c.mu.Lock()
	steps := state.Next(live, rollout.Round{
		Now: time.Now(), Bound: settings.Millis(r.c.set.Bounds.VersionMs), Namings: r.c.namings,
		Turn: func(id string) rollout.Turn { return r.c.turns[id] }, Load: func(id string) float64 { return requests[id] },
	})
	for _, step := range steps {
		r.c.turns[step.Instance.ID] = rollout.Loading
	}
	r.c.mu.Unlock()
	for _, step := range steps {
		go r.load(step)
	}
}

// hold renews or takes the lease where that is due, and tells whether this node holds it.
func (r *roller) hold(state *rollout.State) bool {
	c := r.c
	holderGone := c.isGone(state.Lease.Holder)
	c.mu.Lock()
	began := c.now()
	_, holds := r.watch.Holds(began)
	due := !holds || r.watch.Renew(began)
	// Where servers check fences, turns within the rest count only among holders that are in touch (RULES.md, ONE): one that has
	// ended or reaches nobody is not.
	may := r.watch.MayTake(began, holderGone)
	over, next := r.watch.Next()
	c.mu.Unlock()
	if !due {
		return true
	}
	if !may || (state.Lease.Holder != c.self.ID && !c.first(core.Weights)) {
		return false
	}
	never := func(quorum.Value) bool { return false }
	err := c.changeWeights(time.Now().Add(core.CallTimeout), never, func(s *rollout.State) (*rollout.State, error) {
		if s.Lease != over {
			return nil, fault.New(fault.WrongVersion, "the lease has changed")
		}
		return s.WithLease(next), nil
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

// load has one server's turn: routers send it nothing new, it is ordered to load once its runs have ended, and followed until it has.
// The order is given at once: a server that has it goes on by itself, whatever becomes of this node.
func (r *roller) load(step rollout.Step) {
	c, id := r.c, step.Instance.ID
	r.setLoading(step.Instance, true)
	over := make(chan struct{})
	go r.keepLoading(step.Instance, over)
	defer func() {
		close(over)
		r.setLoading(step.Instance, false)
		c.mu.Lock()
		delete(c.turns, id)
		c.mu.Unlock()
	}()
	if !c.pause(emptyAfter) {
		return
	}
	c.mu.Lock()
	epoch, holds := r.watch.Holds(c.now())
	c.mu.Unlock()
	if !holds {
		return
	}
	step.Model.Version = max(step.Model.Version, r.newest(step.Model.Name))
	status, err := r.order(step, epoch)
	c.log.Debug().Str("instance", id).Int64("weights", step.Model.Version).Int("status", status).Err(err).Msg("server ordered to load")
	if err == nil && status != fasthttp.StatusOK && status != statusAccepted {
		c.log.Info().Str("instance", id).Int("status", status).Msg("server did not take the order to load")
		return
	}
	if err != nil {
		c.log.Info().Str("instance", id).Err(err).Msg("order to load has no answer: the server's report tells whether it was taken")
	}
	r.awaitLoaded(step)
}

// newest gives the newest version named of a model: a version that was overtaken while a server waited need not be loaded.
func (r *roller) newest(model string) int64 {
	state, err := readWeights(r.c.registers.Known(core.Weights).Value.Data)
	if err != nil {
		return 0
	}
	return state.Version(model)
}

// awaitLoaded follows a server that took an order until it has the new weights.
func (r *roller) awaitLoaded(step rollout.Step) {
	c := r.c
	ordered := time.Now()
	time.Sleep(emptyAfter)
	for began := time.Now(); time.Since(began) < loadAtMost; time.Sleep(reportEvery) {
		report, err := r.report(step.Instance.Address)
		if err == nil && report.Running > 0 && time.Since(began) > lastsAfter {
			r.setTurn(step.Instance.ID, rollout.Lasting)
		}
		if err != nil || report.Busy {
			continue
		}
		if rollout.VersionOf(report.Models, step.Model.Name) < step.Model.Version {
			if time.Since(began) > takenWithin {
				return // it did not take the order: another is given at the next tick
			}
			continue // the report lags behind: it need not tell of the order yet
		}
		c.log.Debug().Str("instance", step.Instance.ID).Int64("weights", step.Model.Version).Dur("after-ms", time.Since(ordered)).Msg("server has loaded")
		loaded := step.Instance
		loaded.Models, loaded.State = report.Models, registry.Ready
		c.takeAll([]peer.Instance{loaded})
		c.push(loaded, accountOnly, false)
		return
	}
}

// setTurn notes how far a server's turn is.
func (r *roller) setTurn(id string, turn rollout.Turn) {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	r.c.turns[id] = turn
}

// keepLoading says again that a server is about to load or loads, for as long as its turn lasts.
func (r *roller) keepLoading(in peer.Instance, over <-chan struct{}) {
	in.Loading = true
	for {
		select {
		case <-over:
			return
		case <-r.c.closed:
			return
		case <-time.After(loadingAtMost / 3):
		}
		r.c.mu.Lock()
		r.c.table.SetLoading(r.c.now(), in.ID, true)
		r.c.mu.Unlock()
		r.c.push(in, loadChanged, false)
	}
}

func (r *roller) setLoading(in peer.Instance, loading bool) {
	in.Loading = loading
	r.c.mu.Lock()
	r.c.table.SetLoading(r.c.now(), in.ID, loading)
	r.c.mu.Unlock()
	r.c.notify()
	r.c.push(in, loadChanged, false)
}

// order sends an order to the incarnation that it is meant for. Its answer tells whether the order was taken: the call is made alone, so
// that no surplus answer is taken for it.
func (r *roller) order(step rollout.Step, epoch uint64) (int, error) {
	body, err := json.Marshal(map[string]any{
		"op": operationLoad, "model": step.Model.Name, "version": step.Model.Version, "mode": modeWait,
		"holder": r.c.self.ID, "fence-token": epoch,
	})
	if err != nil {
		return 0, err
	}
	status, _, err := r.client.Do(&servercall.Call{
		Method: fasthttp.MethodPost, Address: step.Instance.Address, Path: "/order", JSON: body, Alone: true, Timeout: serverTimeout,
		Headers: map[string]string{headerExpect: step.Instance.ID},
	})
	return status, err
}

// errNoReport is the error of an answer that has none of the fields of a report: that to another call.
var errNoReport = errors.New("answer is no report")

// report is a server's account of itself; it lags some hundred milliseconds behind.
type report struct {
	Models  []peer.Model `json:"models"`
	Busy    bool         `json:"busy"`
	Running int          `json:"running"`
	Queued  int          `json:"queued"`
}

func (r *roller) report(address string) (*report, error) {
	status, body, err := r.client.Do(&servercall.Call{Address: address, Path: "/report", Timeout: serverTimeout})
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, core.ErrStatus
	}
	var out report
	if err := json.Unmarshal(body, &out); err != nil {
		return nil, err
	}
	if out.Models == nil {
		return nil, errNoReport
	}
	return &out, nil
}
