package duty

// message.go owns what instances say to one another and its form in bytes (CBOR, RFC 8949). It must never
// take for a message what has an impossible value: what Decode returns is safe to compute with.

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Kind is what a message is for.
type Kind uint8

const (
	Ask   Kind = iota + 1 // for the lease; brings the plan
	Grant                 // of the lease
	Done                  // results
	Leave                 // the seat ends
	Hello                 // the seat has started
	Yield                 // a seeker gives its grants back
)

// Message is all that instances say. Which fields count depends on the kind.
type Message struct {
	_ struct{} `cbor:",toarray"`

	Kind Kind
	Seat int // of the sender
	Size int // seats, by its settings
	Boot Time

	Round uint32 // Ask, Grant, Yield: the last asking that it is for
	For   Time   // Ask: how long the lease is to hold
	To    int    // Grant: whose lease it is
	Since Time   // Grant: the boot of that; Ask: a seeker's lot, 0 of a leader
	Plan  []Segment
	Items []Item
}

// Item is one result.
type Item struct {
	_ struct{} `cbor:",toarray"`

	Name     string
	Number   int64 // of the interval
	Interval Time  // its length
	At       Time
	Why      Why
	Result   []byte
}

// Segment is the plan for the intervals that begin from a time to another: which seats are there.
type Segment struct {
	_ struct{} `cbor:",toarray"`

	From, Until Time
	Leader      int
	Active      []byte // a bit a seat

	seats []int // Active, in order
}

const (
	mostSeats    = 1024
	mostName     = 256
	mostResult   = 256
	mostSegments = 64
	mostBytes    = 32 << 10
	furthest     = Time(1) << 52 // times and numbers beyond that are no times
)

var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements:  mostSeats,
		MaxNestedLevels:   8,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}

// Codec turns messages into bytes and back.
type Codec struct{ dec cbor.DecMode }

// NewCodec makes one; only an instance that talks to others needs it.
func NewCodec() *Codec { return &Codec{decoding()} }

// Encode writes a message.
func (c *Codec) Encode(m *Message) ([]byte, error) { return cbor.Marshal(m) }

// Decode reads a message. An error says what makes no sense.
func (c *Codec) Decode(b []byte) (*Message, error) {
	if len(b) > mostBytes {
		return nil, fmt.Errorf("message of %d bytes, %d at most", len(b), mostBytes)
	}
	m := new(Message)
	if err := c.dec.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("message: %w", err)
	}
	if err := m.check(); err != nil {
		return nil, fmt.Errorf("message of seat %d: %w", m.Seat, err)
	}
	return m, nil
}

func badTime(t Time) bool { return t < 0 || t > furthest }

// check refuses impossible values.
func (m *Message) check() error {
	switch {
	case m.Kind < Ask || m.Kind > Yield:
		return fmt.Errorf("kind %d is unknown", m.Kind)
	case m.Size < 1 || m.Size > mostSeats:
		return fmt.Errorf("size %d is out of range", m.Size)
	case m.Seat < 0 || m.Seat >= m.Size || m.To < 0 || m.To >= m.Size:
		return fmt.Errorf("a seat is out of range")
	case badTime(m.Boot) || badTime(m.For) || badTime(m.Since):
		return fmt.Errorf("a time is out of range")
	case len(m.Plan) > mostSegments:
		return fmt.Errorf("a plan of %d segments", len(m.Plan))
	}
	for i := range m.Plan {
		s := &m.Plan[i]
		if badTime(s.From) || badTime(s.Until) || s.From >= s.Until || s.Leader < 0 || s.Leader >= m.Size ||
			len(s.Active) != (m.Size+7)/8 {
			return fmt.Errorf("segment %d of the plan makes no sense", i)
		}
		s.fill()
		if len(s.seats) == 0 || s.seats[len(s.seats)-1] >= m.Size {
			return fmt.Errorf("segment %d of the plan names impossible seats", i)
		}
	}
	for i := range m.Items {
		it := &m.Items[i]
		if it.Name == "" || len(it.Name) > mostName || len(it.Result) > mostResult || it.Interval <= 0 ||
			it.Interval > furthest || badTime(it.At) || it.Number < 0 || it.Number > int64(furthest) ||
			it.Why > Unheard {
			return fmt.Errorf("result %d makes no sense", i)
		}
	}
	return nil
}

// fill sets what is worked out from the rest.
func (s *Segment) fill() {
	s.seats = s.seats[:0]
	for i := range len(s.Active) * 8 {
		if s.has(i) {
			s.seats = append(s.seats, i)
		}
	}
}

func (s *Segment) has(seat int) bool { return s.Active[seat/8]>>(seat%8)&1 == 1 }
