package configuration

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -file state.go -tests=false -o state_gen.go

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"slices"

	"moleshift/fault"
)

// The kinds of orders.
const (
	Replace = "replace"
	Patch   = "patch"
)

// rememberedOrders bounds how many taken orders are known again when they are sent once more.
const rememberedOrders = 1024

// Taken is an order that was taken: the version it brought and a hash of all it said.
type Taken struct {
	Version int64  `msg:"v"`
	Hash    []byte `msg:"d"` // the first hashBytes of a SHA-256
}

// State is what the register of the configuration holds. The zero State is that of a system that was never configured.
type State struct {
	Version int64   `msg:"v"`
	Body    []byte  `msg:"b"` // the whole configuration, as JSON
	Orders  []Taken `msg:"o"` // the newest orders taken, oldest first

	SharedSince  int64    `msg:"w"` // version since which the tenants that are not isolated share kept prompts with one another; 0: the first
	Sharers      []string `msg:"s"` // tenants that have shared since then, by name
	SharingKnown bool     `msg:"k"` // the two above were noted; not by releases that knew nothing of them
}

// Order is an order of the operator.
type Order struct {
	Kind      string // Replace or Patch
	IfVersion int64  // what it builds on: see peer.Order
	Body      []byte
}

// Result tells what became of an order.
type Result int

// The results of an order; a refused one comes with an error instead.
const (
	Applied Result = iota // the state is a new one
	Already               // this very order was taken before
)

// hashBytes is how much is kept of an order's hash: orders that collide cannot be made.
const hashBytes = 20

// Hash tells orders apart, by all that they say.
func (o *Order) Hash() []byte {
	h := sha256.New()
	h.Write([]byte(o.Kind))
	h.Write(binary.LittleEndian.AppendUint64(nil, uint64(o.IfVersion)))
	h.Write(o.Body)
	return h.Sum(nil)[:hashBytes]
}

// Took tells whether this very order is among the newest that were taken.
func (s *State) Took(o *Order) bool {
	hash := o.Hash()
	return slices.ContainsFunc(s.Orders, func(taken Taken) bool { return bytes.Equal(taken.Hash, hash) })
}

// Apply gives the state after an order. The same order has the same outcome however often it comes: Already once it was taken,
// whatever came later. Errors are of the kinds WrongVersion and BadConfig, and Unavailable for an order so old that whether it was
// taken is not known any more: it must not be refused.
func (s *State) Apply(o *Order) (*State, Result, error) {
	var head struct {
		Version int64 `json:"version"`
	}
	if err := Decode(o.Body, &head); err != nil {
		return nil, 0, err
	}
	hash := o.Hash()
	for _, taken := range s.Orders {
		if taken.Version != head.Version {
			continue
		}
		if bytes.Equal(taken.Hash, hash) {
			return s, Already, nil
		}
		return nil, 0, fault.New(fault.WrongVersion, "version %d was taken by another order", head.Version)
	}
	if len(s.Orders) >= rememberedOrders && head.Version < s.Orders[0].Version {
		return nil, 0, fault.New(fault.Unavailable, "version %d is older than the last %d orders: read the configuration instead", head.Version, rememberedOrders)
	}
	if o.IfVersion != s.Version {
		return nil, 0, fault.New(fault.WrongVersion, "the order builds on version %d, current is %d", o.IfVersion, s.Version)
	}
	if head.Version <= s.Version {
		return nil, 0, fault.New(fault.BadConfig, "version %d is not above the current one, %d", head.Version, s.Version)
	}
	body := o.Body
	if o.Kind == Patch {
		patched, err := patch(s.Body, o.Body)
		if err != nil {
			return nil, 0, err
		}
		body = patched
	}
	document, err := Parse(body)
	if err != nil {
		return nil, 0, err
	}
	orders := append([]Taken{}, s.Orders[max(0, len(s.Orders)+1-rememberedOrders):]...)
	next := &State{Version: head.Version, Body: body, Orders: append(orders, Taken{head.Version, hash})}
	next.share(s, document)
	return next, Applied, nil
}

// change is the body of a patch.
type change struct {
	Version json.RawMessage              `json:"version"`
	Upsert  map[string][]json.RawMessage `json:"upsert"`
	Remove  map[string][]string          `json:"remove"`
}

// patch gives the configuration after named items were added, replaced or removed. What it does not name stays as it was written.
func patch(body, by []byte) ([]byte, error) {
	var c change
	if err := Decode(by, &c); err != nil {
		return nil, err
	}
	document := map[string]json.RawMessage{}
	if len(body) > 0 {
		if err := Decode(body, &document); err != nil {
			return nil, err
		}
	}
	for list, names := range c.Remove {
		if err := editList(document, list, nil, names); err != nil {
			return nil, err
		}
	}
	for list, items := range c.Upsert {
		if err := editList(document, list, items, nil); err != nil {
			return nil, err
		}
	}
	document["version"] = c.Version
	out, err := json.Marshal(document)
	if err != nil {
		return nil, fault.New(fault.BadConfig, "the change cannot be written: %v", err)
	}
	return out, nil
}

func editList(document map[string]json.RawMessage, list string, upsert []json.RawMessage, remove []string) error {
	var items []json.RawMessage
	if raw, ok := document[list]; ok {
		if err := json.Unmarshal(raw, &items); err != nil {
			return fault.New(fault.BadConfig, "%q holds no list of named items", list)
		}
	}
	byName := map[string]int{}
	for i, item := range items {
		name, err := nameOf(item)
		if err != nil {
			return err
		}
		byName[name] = i
	}
	for _, item := range upsert {
		name, err := nameOf(item)
		if err != nil {
			return err
		}
		if i, ok := byName[name]; ok {
			items[i] = item
			continue
		}
		byName[name] = len(items)
		items = append(items, item)
	}
	for _, name := range remove {
		if i, ok := byName[name]; ok {
			items[i] = nil
		}
	}
	kept := make([]json.RawMessage, 0, len(items))
	for _, item := range items {
		if item != nil {
			kept = append(kept, item)
		}
	}
	raw, err := json.Marshal(kept)
	if err != nil {
		return fault.New(fault.BadConfig, "%q cannot be written: %v", list, err)
	}
	document[list] = raw
	return nil
}

func nameOf(item json.RawMessage) (string, error) {
	var named struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(item, &named); err != nil || named.Name == "" {
		return "", fault.New(fault.BadConfig, "an item has no name: %.80s", item)
	}
	return named.Name, nil
}
