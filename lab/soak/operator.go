package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"moleshift/lab/nodes"
)

// changesAKey is after how many changes of the configuration the keys change.
const changesAKey = 8

// changesAnIsolation is after how many changes a tenant is isolated, or is not any more.
const changesAnIsolation = 20

// changesAnInvalid is after how many changes an invalid configuration is sent.
const changesAnInvalid = 11

// The two tenants whose prompts have parts in common, and their keys.
var (
	wallTenants = []string{"w0", "w1"}
	wallKeys    = []string{"wall-0", "wall-1"}
)

// wallTenant describes one of them.
func wallTenant(i int, isolated bool) map[string]any {
	return map[string]any{"name": wallTenants[i], "api-keys": []string{wallKeys[i]}, "priority": 0, "isolated": isolated}
}

// post sends a body as it is; 0: no answer.
func post(ctx context.Context, client *http.Client, url, body string, headers ...string) (status int) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// call sends a call with a JSON body; status 0: no answer.
func call(ctx context.Context, client *http.Client, method, url string, body any, headers ...string) (status int, text string) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, err.Error()
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(encoded))
	if err != nil {
		return 0, err.Error()
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	read, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(read)
}

// operator configures the system, changes the configuration and names weights.
type operator struct {
	fleet   *nodes.Fleet
	history *History
	client  *http.Client
	random  *rand.Rand
	version int64 // of the configuration in force
	weights int64
	keys    []string // of the tenant, oldest first
	given   int      // keys so far
	walled  bool     // the first of the wall's tenants is isolated
}

func newOperator(f *nodes.Fleet, h *History, random *rand.Rand) *operator {
	return &operator{fleet: f, history: h, random: random, weights: 1,
		client: &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// send sends an order again and again, to one node after the other, until it is acknowledged or refused; false: the context ended.
func (o *operator) send(ctx context.Context, path string, body any) (status int, ok bool) {
	for at := o.random.IntN(o.fleet.Len()); ctx.Err() == nil; at = (at + 1) % o.fleet.Len() {
		status, _ := call(ctx, o.client, "POST", "http://"+o.fleet.Address(at, nodes.Control)+path, body, "Moleshift-If-Version", strconv.FormatInt(o.version, 10))
		if status >= 200 && status < 500 && status != http.StatusTooManyRequests {
			return status, true
		}
		pause(ctx, 100*time.Millisecond)
	}
	return 0, false
}

// route describes a route of the configuration.
func route(name, kind, service string, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": "h", "path-prefix": "/" + name + "/", "route-type": kind, "timeout-ms": 8000, "target-latency-ms": 300,
		"service": service, "max-attempts": attempts, "resumable": resumable, "gap_aim_ms": 250, "public": name != string(Keyed) && name != string(Walled),
	}
}

// tenantOf describes the tenant that has the given keys.
func tenantOf(keys []string) map[string]any {
	return map[string]any{"name": "t0", "api-keys": keys, "priority": 0, "isolated": false}
}

// configure sends the first configuration.
func (o *operator) configure(ctx context.Context, slots int) error {
	body := map[string]any{
		"version": 1,
		"routes": []any{
			route(string(Once), "non_idempotent", batchService, 1, false), route(string(Single), "streaming", modelService, 1, false),
			route(string(Resumable), "streaming", modelService, 2, true), route(string(Again), "idempotent", batchService, 2, false),
			route(string(Keyed), "non_idempotent", batchService, 1, false), route(string(Walled), "streaming", modelService, 1, false),
			route(string(Released), "non_idempotent", releasedService, 1, false),
		},
		"tenants": []any{tenantOf([]string{o.nextKey()}), wallTenant(0, false), wallTenant(1, false)},
		"services": []any{
			map[string]any{"name": batchService, "max-connections": 200}, map[string]any{"name": releasedService, "max-connections": 200},
			map[string]any{"name": modelService, "max-connections": 200, "engine": map[string]any{
				"slots": slots, "kv-capacity-tokens": 10000, "models": []any{map[string]any{"name": modelName}}}},
		},
	}
	status, ok := o.send(ctx, "/config/replace", body)
	if !ok || status != http.StatusOK {
		return fmt.Errorf("the first configuration got status %d", status)
	}
	o.version = 1
	o.history.addChange(Change{1, o.history.Now()})
	o.history.giveKey(o.keys[0])
	return nil
}

// nextKey adds a key to those of the tenant.
func (o *operator) nextKey() string {
	o.given++
	key := fmt.Sprint("key-", o.given)
	o.keys = append(o.keys, key)
	return key
}

// changeKeys gives the tenant another key and, where it has two already, takes the oldest away.
func (o *operator) changeKeys(ctx context.Context) {
	acknowledged := func() {}
	if len(o.keys) > 1 {
		acknowledged = o.history.takeKey(o.keys[0])
		o.keys = o.keys[1:]
	}
	key := o.nextKey()
	if o.patch(ctx, map[string]any{"tenants": []any{tenantOf(o.keys)}}) {
		acknowledged()
		o.history.giveKey(key)
	}
}

// patch adds or replaces items of the configuration; false: that was not acknowledged.
func (o *operator) patch(ctx context.Context, upsert map[string]any) bool {
	next := o.version + 1
	status, ok := o.send(ctx, "/config/patch", map[string]any{"version": next, "upsert": upsert})
	if !ok || status != http.StatusOK {
		return false
	}
	o.version = next
	o.history.addChange(Change{next, o.history.Now()})
	return true
}

// change adds or replaces a route that nobody uses.
func (o *operator) change(ctx context.Context) {
	name := fmt.Sprint("added-", (o.version+1)%5)
	o.patch(ctx, map[string]any{"routes": []any{route(name, "non_idempotent", batchService, 1, false)}})
}

// changeWall isolates a tenant, or ends that.
func (o *operator) changeWall(ctx context.Context) {
	if o.walled {
		o.history.endIsolation(wallTenants[0])
	}
	if !o.patch(ctx, map[string]any{"tenants": []any{wallTenant(0, !o.walled)}}) {
		return
	}
	if o.walled = !o.walled; o.walled {
		o.history.isolate(wallTenants[0])
	}
}

// sendInvalid sends a change with something behind its end, once: no node may take it.
func (o *operator) sendInvalid(ctx context.Context) {
	body := json.RawMessage(fmt.Sprintf(`{"version":%d}`, o.version+1))
	for _, behind := range []string{"}", "]", " {}"} {
		at := o.random.IntN(o.fleet.Len())
		text := string(body) + behind
		url := "http://" + o.fleet.Address(at, nodes.Control) + "/config/patch"
		if status := post(ctx, o.client, url, text, "Moleshift-If-Version", strconv.FormatInt(o.version, 10)); status == http.StatusOK {
			o.history.addInvalid(text)
			o.version++
			return
		}
	}
}

// name names new weights.
func (o *operator) name(ctx context.Context) {
	next := o.weights + 1
	if status, ok := o.send(ctx, "/version-put", map[string]any{"model": modelName, "version": next}); ok && status == http.StatusOK {
		o.weights = next
		o.history.addNaming(Naming{next, o.history.Now()})
	}
}

// run changes and names until the context ends.
func (o *operator) run(ctx context.Context, options *Options) {
	naming := time.Now().Add(time.Second)
	for n := 1; pause(ctx, options.ChangeEvery); n++ {
		switch {
		case n%changesAnIsolation == 0:
			o.changeWall(ctx)
		case n%changesAnInvalid == 0:
			o.sendInvalid(ctx)
		case n%changesAKey == 0:
			o.changeKeys(ctx)
		default:
			o.change(ctx)
		}
		if time.Now().After(naming) {
			o.name(ctx)
			naming = time.Now().Add(options.Bounds.Version/2 + time.Duration(o.random.Int64N(int64(options.Bounds.Version))))
		}
	}
}
