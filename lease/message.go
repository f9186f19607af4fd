package lease

// message.go owns what instances say to one another about rights, and its form in bytes (CBOR, RFC 8949). It must never take for
// a message what has an impossible value: what Decode returns is safe to compute with.

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Kind is what a message is for.
type Kind uint8

const (
	Ask     Kind = iota + 1 // a leader, or one who would lead, asks for votes; brings a page of the table
	Grant                   // a vote, and what its seat holds
	Sound                   // would you vote for me?
	Echo                    // yes
	Yield                   // votes are given back
	Give                    // the leader gives rights, or more time
	Release                 // a right is given up before its end
	Hello                   // the seat has started
	Bye                     // the seat ends
	Fetch                   // a holder asks for what was last kept of its work, and closes it to older tokens
	Fetched                 // the answer
	Store                   // a holder has something kept
	Stored                  // the answer
	Refused                 // an answer to Fetch or Store: a greater token was here
)

// Message is all that instances say. Which fields count depends on the kind.
type Message struct {
	_ struct{} `cbor:",toarray"`

	Kind Kind
	Seat int // of the sender
	Size int // seats, by its settings
	Boot Time

	Round  uint32 // Ask, Grant, Yield
	For    Time   // Ask: how long the vote is to hold
	Lot    Time   // Ask
	To     int    // Grant, Give: for whom it is
	ToBoot Time   // and of which process
	Reign  uint64 // Ask; Grant: the least that would do, where the vote is refused
	Rest   Time   // Grant
	Led    bool   // Yield: the votes made a leader
	Going  bool   // Grant, Release: the sender is about to end, and takes nothing more
	Stamp  Time   // Grant: the sender's clock as it wrote this
	There  []byte // Ask: who voted lately, a bit a seat

	Holds    []Claim // Grant: what the seat holds
	Released []Claim // Grant, Release: what it has given up lately
	Given    []Gift  // Give
	Table    []Entry // Ask
	Slip     *Slip   // Fetch, Fetched, Store, Stored, Refused
}

// Claim is a right with its token.
type Claim struct {
	_ struct{} `cbor:",toarray"`

	Right uint64
	Token Token
}

// Gift gives a right until For after Stamp, a point on the receiver's own clock.
type Gift struct {
	_ struct{} `cbor:",toarray"`

	Right  uint64
	Token  Token
	Stamp  Time
	For    Time
	Recall bool // to be released soon
}

// Entry is what the leader tells all of a right. Nobody acts on it but the next leader, as a preference.
type Entry struct {
	_ struct{} `cbor:",toarray"`

	Right uint64
	Seat  int // -1: nobody
	Token Token
	Age   Time // since it was given
	Lost  int  // holders that vanished with it, one after the other
	Rest  Time // for which it is given to nobody
	Heir  int  // who would be next, -1: nobody
}

// Slip is what a holder keeps with the seats: how far its work has come.
type Slip struct {
	_ struct{} `cbor:",toarray"`

	Right  uint64
	Token  Token // of the message
	Seq    uint64
	By     Token // Fetched: who wrote what is kept
	Value  []byte
	Forgot bool // Fetched: the seat has lost what it kept
}

const (
	mostSeats  = 1024
	mostRights = 1024
	mostPage   = 32      // entries of the table in one message
	mostSlip   = 1 << 10 // bytes
	mostBytes  = 48 << 10
	furthest   = Time(1) << 52
)

// Codec turns messages into bytes and back.
type Codec struct{ dec cbor.DecMode }

// NewCodec makes one; only an instance that talks to others needs it.
func NewCodec() *Codec {
	m, err := cbor.DecOptions{MaxArrayElements: mostRights, MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return &Codec{m}
}

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
	case m.Kind < Ask || m.Kind > Refused:
		return fmt.Errorf("kind %d is unknown", m.Kind)
	case m.Size < 1 || m.Size > mostSeats:
		return fmt.Errorf("size %d is out of range", m.Size)
	case m.Seat < 0 || m.Seat >= m.Size || m.To < 0 || m.To >= m.Size:
		return fmt.Errorf("a seat is out of range")
	case badTime(m.Boot) || badTime(m.For) || badTime(m.Lot) || badTime(m.ToBoot) || badTime(m.Rest) || badTime(m.Stamp):
		return fmt.Errorf("a time is out of range")
	case m.Reign > mostReign:
		return fmt.Errorf("reign %d is out of range", m.Reign)
	case m.Kind == Ask && len(m.There) != (m.Size+7)/8:
		return fmt.Errorf("%d bytes tell who is there of %d seats", len(m.There), m.Size)
	case m.Kind >= Fetch && m.Slip == nil:
		return fmt.Errorf("the slip is missing")
	case m.Slip != nil && len(m.Slip.Value) > mostSlip:
		return fmt.Errorf("a slip of %d bytes, %d at most", len(m.Slip.Value), mostSlip)
	}
	for i := range m.Given {
		if g := &m.Given[i]; badTime(g.Stamp) || badTime(g.For) {
			return fmt.Errorf("gift %d makes no sense", i)
		}
	}
	for i := range m.Table {
		e := &m.Table[i]
		if e.Seat < -1 || e.Seat >= m.Size || e.Heir < -1 || e.Heir >= m.Size || badTime(e.Age) || badTime(e.Rest) || e.Lost < 0 {
			return fmt.Errorf("entry %d of the table makes no sense", i)
		}
	}
	return nil
}
