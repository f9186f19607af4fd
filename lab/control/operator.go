package control

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"moleshift/controlplane/configuration"
	"moleshift/fault"
	"moleshift/peer"
)

const (
	operatorPause  = 50 * time.Millisecond // first pause after a call without a clear answer
	operatorPauses = 2 * time.Second       // longest one
	usualPatience  = 12 * time.Second      // an operator sends one order for so long
	operatorName   = "operator"
	namingGap      = 3 * time.Second // between two versions named, at the mean
	modelName      = "m"
)

// operators send orders and reads to the machines of a world, as the protocol page says that operators do.
type operators struct {
	*dice
	w *World

	mu      sync.Mutex
	orders  int
	ackLost float64 // share of acknowledgements that are lost

	patience time.Duration // for which an operator sends one order
}

func (o *operators) next() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.orders++
	return o.orders
}

func (o *operators) loses() bool {
	o.mu.Lock()
	lost := o.ackLost
	o.mu.Unlock()
	return o.share(lost)
}

func (o *operators) setAckLost(share float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ackLost = share
}

// body is a configuration that says which order brought it.
func body(ord order, routes int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, ord.version)
	for i := range routes {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"r%d","host":"h","path-prefix":"/%d/","route-type":"idempotent","timeout-ms":1000,"service":"s"}`, i, i)
	}
	fmt.Fprintf(&b, `],"services":[{"name":"s"},{"name":"order-%d"}]}`, ord.id)
	return []byte(b.String())
}

// stateOf reads a configuration's version and the order that brought it.
func stateOf(text []byte) (state, bool) {
	var d struct {
		Version  int64 `json:"version"`
		Services []struct {
			Name string `json:"name"`
		} `json:"services"`
	}
	if err := json.Unmarshal(text, &d); err != nil {
		return state{}, false
	}
	s := state{version: d.Version}
	for _, service := range d.Services {
		_, _ = fmt.Sscanf(service.Name, "order-%d", &s.order)
	}
	return s, true
}

// call sends one call to a machine.
func (o *operators) call(m *machine, in *peer.Order) (*peer.OrderReply, error) {
	value, err := o.w.network.exchange(operatorName, m.address+":7000", len(in.Body), apiTimeout, nil, func(p *process) (any, int, error) {
		reply := p.controller.Order(in)
		return reply, len(reply.Body), nil
	})
	if err != nil {
		return nil, err
	}
	return value.(*peer.OrderReply), nil
}

// change sends one order until it has a clear answer or the operator gives up. It tells the version that holds afterwards, as far as
// the operator knows.
func (o *operators) change(client int, base, version int64) outcomeKind {
	ord := order{o.next(), base, version}
	in := &peer.Order{Kind: configuration.Replace, IfVersion: base, Body: body(ord, o.w.options.Routes)}
	began := time.Now()
	kind := unknown
	for pause := operatorPause; kind == unknown && time.Since(began) < o.patience && !o.w.over(); pause = min(2*pause, operatorPauses) {
		reply, err := o.call(o.w.anyMachine(o.draw), in)
		switch {
		case err != nil || o.loses():
		case fault.Kind(reply.Kind) == fault.None:
			kind = taken
		case fault.Kind(reply.Kind) == fault.WrongVersion:
			kind = refused
		}
		if kind == unknown {
			time.Sleep(pause)
		}
	}
	o.w.judge.change(client, began, ord, kind)
	if o.w.options.Verbose {
		o.w.judge.tell("operator %d: order %d, %d on %d: %v after %v", client, ord.id, version, base, kind, time.Since(began))
	}
	return kind
}

// read asks one machine for the configuration.
func (o *operators) read(client int, m *machine) (state, bool) {
	began := time.Now()
	reply, err := o.call(m, &peer.Order{Kind: "read"})
	if err != nil || fault.Kind(reply.Kind) != fault.None {
		return state{}, false
	}
	s, ok := stateOf(reply.Body)
	if ok {
		o.w.judge.read(client, began, s)
	}
	return s, ok
}

// nameVersions names one version of a model after the other until the world is over; each is sent until it is acknowledged.
func (o *operators) nameVersions(gap func() time.Duration) {
	for version := int64(1); !o.w.over(); version++ {
		time.Sleep(gap())
		in := &peer.Order{Kind: "version", Body: fmt.Appendf(nil, `{"model":%q,"version":%d}`, modelName, version)}
		for pause := operatorPause; !o.w.over(); pause = min(2*pause, operatorPauses) {
			reply, err := o.call(o.w.anyMachine(o.draw), in)
			if err == nil && fault.Kind(reply.Kind) == fault.None && !o.loses() {
				o.w.judge.named(version)
				break
			}
			time.Sleep(pause)
		}
	}
}

// run is one operator's day: reads, and changes on what it read, until the world is over.
func (o *operators) run(client int, gap func() time.Duration) {
	for !o.w.over() {
		time.Sleep(gap())
		s, ok := o.read(client, o.w.anyMachine(o.draw))
		if !ok || o.draw(3) == 0 {
			continue
		}
		o.change(client, s.version, s.version+1+int64(o.draw(3)))
	}
}
