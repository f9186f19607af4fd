package choice

// Time is a point or a length of time in whole tenths of a millisecond.
type Time int64

// Millisecond is the unit in which settings are usually written down.
const Millisecond Time = 10

// Effect tells what running a part twice would do.
type Effect int

const (
	Repeatable Effect = iota
	Deduplicated
	SideEffecting
)

// Outcome tells how a leaf call or a probe ended.
type Outcome int

const (
	OK Outcome = iota
	Failed
	Full
	TimedOut
	NoConnection
	Reset
	Cancelled
	Moot
	Refused // no connection either: where the leaf was, no process listens
)

// Condition is what the list of servers says of one of them.
type Condition int

const (
	Gone Condition = iota
	Ready
	Draining
)

// Measure names a value of a load report.
type Measure int

const (
	Active Measure = iota
	Waiting
	Utilisation
	ServiceTime
	ServedRate
	ErrorRate
	measures
)

// Report is one server's load report; Has tells which values it holds. ServiceTime is in milliseconds.
type Report struct {
	Has   [measures]bool
	Value [measures]float64
}

// Set notes one value of the report.
func (r *Report) Set(m Measure, v float64) { r.Has[m], r.Value[m] = true, v }

// Vertical is a kind of query: what an answer needs and what it earns.
type Vertical struct {
	SLO, Deadline Time
	SLOStretch    float64 // adds this multiple of the query's own work to the SLO time
	Effect        Effect
	DedupWindow   Time
	Utility       float64
	LateUtility   float64 // portion of Utility after the SLO time
	Need, Floor   float64 // weight of a whole answer; least weight of any
	PartialEarns  float64
	SecondStep    int
}

// Tenant is one of those who share the service.
type Tenant struct {
	PerSecond float64 // queries a second within its share, over all roots; 0 where none is stated
}

// Settings is what a root is told at its start.
type Settings struct {
	Seed      uint64
	Roots     int
	Tick      Time
	Zone      int
	CrossZone float64 // price of a part that crosses zones, as a portion of what it earns
	Shards    int
	Cells     int
	Span      int
	Verticals []Vertical
	Tenants   []Tenant

	OverShareUtility float64
	UtilityByWork    bool

	Batch    int     // parts that travel to a server as one call if they leave in one turn
	Overhead float64 // work of a call beside its parts, in the unit of hints

	MaxCalls     int
	SecondCopies bool
	MayCancel    bool
	MayProbe     bool
	HoldOff      bool
	MaxHoldOff   Time
	ProbeReports bool // load reports come with probes alone
	AskForList   bool

	BudgetSet    bool
	BudgetSpare  float64
	BudgetRatio  float64
	BudgetWindow Time
	ColdShare    float64
	ColdTime     Time
	FallMultiple float64
	FallTime     Time
}

// Entry is one line of the list of servers.
type Entry struct {
	Leaf      *Leaf
	Zone      int
	Cell      int
	Shards    []int // that it holds; nil: those of its cell, by Cells and Span
	Condition Condition
	Started   Time // 0: long past
}

// Port is what a root can do to the world. Whoever drives the module implements it; a call takes effect
// at once, and what comes of it is told later by the methods of Root.
type Port interface {
	Call(c *LeafCall, timeout Time)
	Cancel(c *LeafCall)
	Merge(q *Query, whole bool)
	Reject(q *Query, holdOff Time)
	Abort(q *Query)
	Probe(l *Leaf)
	Watch() // ask for the list and its changes from now on
	Wake(at Time)
}
