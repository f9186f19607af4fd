package explore

// Named is a world with a name.
type Named struct {
	Name  string
	Large bool // too large for CI: played by command
	Most  int  // states that are visited at most
	Start func(f Fault) World
}

func order(name string) Operation { return Operation{Order: name} }

func change(members ...string) Operation { return Operation{Members: members} }

var read = Operation{Read: true}

const (
	smallMost = 60_000
	leaseMost = 600_000
	largeMost = 6_000_000
)

func register(o RegisterOptions) func(f Fault) World {
	return func(f Fault) World {
		o.Fault = f
		return NewRegister(o)
	}
}

// leftOut is a world in which a member that is silent is left out as package membership says: of four, where one disk may be lost;
// with the fault planted, of three.
func leftOut(f Fault) World {
	members, next := []string{"a", "b", "c", "d"}, []string{"b", "c", "d"}
	if f == LeavesTooFew {
		members, next = []string{"b", "c", "d"}, []string{"c", "d"}
	}
	return NewRegister(RegisterOptions{
		Members: members, Proposers: [][]Operation{{change(next...), order("A")}}, Wipes: 1, Fault: f,
	})
}

func abc() []string { return []string{"a", "b", "c"} }

// RegisterWorlds are the worlds of one register.
var RegisterWorlds = []Named{
	{"two operators under one number", false, smallMost, register(RegisterOptions{
		Members: abc(), Proposers: [][]Operation{{order("A")}, {order("B")}},
	})},
	{"an order sent again elsewhere", false, smallMost, register(RegisterOptions{
		Members: abc(), Proposers: [][]Operation{{order("A")}, {order("A")}}, Wipes: 1,
	})},
	{"an order sent again after another", false, smallMost, register(RegisterOptions{
		Members: abc(), Proposers: [][]Operation{{order("A")}, {order("B"), order("A")}},
	})},
	{"a read at a member that is cut off", false, smallMost, register(RegisterOptions{
		Members: abc(), Proposers: [][]Operation{{order("A")}, {read}}, Wipes: 1,
	})},
	{"a disk lost after an acknowledgement, the others dark", false, smallMost, register(RegisterOptions{
		Members: abc(), Proposers: [][]Operation{{order("A")}}, Wipes: 1, Dark: true, Retries: 1,
	})},
	{"a member replaced and an order", false, smallMost, register(RegisterOptions{
		Members: abc(), Others: []string{"d"}, Proposers: [][]Operation{{change("b", "c", "d")}, {order("A")}},
	})},
	{"a member that leaves, and a disk lost after", false, smallMost, register(RegisterOptions{
		Members: abc(), Others: []string{"d"}, Proposers: [][]Operation{{order("A"), {Members: []string{"b", "c", "d"}, Leaves: "a"}}}, Wipes: 1,
	})},
	{"the first membership, an elector forgets its votes", false, smallMost, register(RegisterOptions{
		Members: abc(), Proposers: [][]Operation{{order("A")}, {order("B")}}, Wipes: 1,
	})},
	{"members left out, and a disk lost after", false, smallMost, leftOut},
	{"two changes of members that overlap", true, largeMost, register(RegisterOptions{
		Members: abc(), Others: []string{"d", "e"},
		Proposers: [][]Operation{{change("a", "d", "e")}, {change("b", "c")}, {order("A")}},
	})},
	{"two operators who begin anew", true, largeMost, register(RegisterOptions{
		Members: abc(), Proposers: [][]Operation{{order("A")}, {order("B")}}, Retries: 1, Wipes: 1,
	})},
	{"four members, a disk lost, an order sent again", true, largeMost, register(RegisterOptions{
		Members: []string{"a", "b", "c", "d"}, Proposers: [][]Operation{{order("A")}, {order("A")}}, Wipes: 1,
	})},
}

// Worlds are all worlds.
var Worlds = append([]Named{
	{"one holder over freezes and restarts", false, leaseMost, NewSingleton},
	{"a request that may not run twice", false, smallMost, func(f Fault) World { return NewAttempt(false, 1, f) }},
	{"a request that may run on three servers", false, smallMost, func(f Fault) World { return NewAttempt(true, 3, f) }},
}, RegisterWorlds...)

// Planted is a fault with the world that must show it.
type Planted struct {
	Fault Fault
	World string
}

// PlantedFaults lists them.
var PlantedFaults = []Planted{
	{AcceptsUnpromised, "two operators under one number"},
	{IgnoresTheNewest, "two operators under one number"},
	{AcksOneAcceptance, "two operators under one number"},
	{ForgetsOrders, "an order sent again elsewhere"},
	{RefusesUnchosen, "an order sent again after another"},
	{AnswersUnconfirmed, "a read at a member that is cut off"},
	{KeepsIdentity, "an order sent again elsewhere"},
	{AnswersBeforeSync, "a disk lost after an acknowledgement, the others dark"},
	{OneStepChange, "two changes of members that overlap"},
	{EndsBeforeHandover, "a member that leaves, and a disk lost after"},
	{KeepsIdentity, "the first membership, an elector forgets its votes"},
	{LeaseFromAnswer, "one holder over freezes and restarts"},
	{ResetIsNotSent, "a request that may not run twice"},
	{LeavesTooFew, "members left out, and a disk lost after"},
}

// WorldOf finds a world by its name.
func WorldOf(worlds []Named, name string) *Named {
	for i := range worlds {
		if worlds[i].Name == name {
			return &worlds[i]
		}
	}
	return nil
}
