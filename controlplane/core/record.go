package core

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -file record.go -tests=false -unexported -o record_gen.go

import (
	"github.com/gravitational/trace"

	"moleshift/controlplane/delta"
	"moleshift/controlplane/quorum"
)

// record is how an acceptor's state of a register stands on disk.
type record struct {
	Promised quorum.Ballot  `msg:"p"`
	Accepted quorum.Ballot  `msg:"a"`
	Value    quorum.Value   `msg:"v"` // without its data
	Content  *delta.Content `msg:"c"` // the data
}

// encodeRecord writes a state.
func encodeRecord(s quorum.State, writer *delta.Writer) ([]byte, error) {
	r := record{Promised: s.Promised, Accepted: s.Accepted, Value: s.Value, Content: writer.Write(s.Value.Data, nil)}
	r.Value.Data = nil
	data, err := r.MarshalMsg(nil)
	return data, trace.Wrap(err)
}

// decodeRecord reads a state.
func decodeRecord(data []byte) (quorum.State, error) {
	var r record
	if _, err := r.UnmarshalMsg(data); err != nil {
		return quorum.State{}, trace.Wrap(err)
	}
	s := quorum.State{Promised: r.Promised, Accepted: r.Accepted, Value: r.Value}
	if r.Content == nil {
		return s, nil
	}
	content, err := r.Content.Open(nil)
	if len(content) > 0 {
		s.Value.Data = content
	}
	return s, trace.Wrap(err)
}
