// Package capture holds what a router has served, query by query: as it is recorded, kept in files, and played again by a
// planner or a laboratory. It must never hold a query's text, nor a key that could be read back.
package capture

// Times are in whole tenths of a millisecond, as in package choice; At counts from the capture's start.

// Query is one query.
type Query struct {
	At       int64   `json:"at"`
	Vertical string  `json:"v"`
	Tenant   string  `json:"t,omitempty"`
	Key      uint64  `json:"k,omitempty"` // a keyed hash of what it was about
	Parts    []Part  `json:"p"`
	Final    Final   `json:"f,omitempty"`
	Took     int64   `json:"d,omitempty"` // to the final answer
	Weight   float64 `json:"w,omitempty"` // of the parts that were in
}

// Part is one part.
type Part struct {
	Shard  int     `json:"s"`
	Weight float64 `json:"w"`
	Hint   float64 `json:"h,omitempty"` // work as the client guessed it, ms
	Work   float64 `json:"c,omitempty"` // work as measured or made, ms; 0: not known
	Calls  []Call  `json:"l,omitempty"`
}

// Call is one leaf call.
type Call struct {
	Leaf    string `json:"i"`
	Sent    int64  `json:"s"` // after the query came
	Took    int64  `json:"d"`
	Outcome uint8  `json:"o"` // as in package choice
}

// Final tells how a query ended.
type Final uint8

const (
	Unknown Final = iota
	Whole
	Partial
	Rejected
	Aborted
	Left // the client had gone
)

func (f Final) String() string {
	return [...]string{"unknown", "whole", "partial", "rejected", "aborted", "left"}[f]
}
