package soak

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var testBounds = Bounds{Version: 4 * time.Second, Grace: 6 * time.Second, Contact: 2 * time.Second, Apply: 2 * time.Second, Revoke: 3 * time.Second, Drain: 2 * time.Second, LossSlack: 200 * time.Millisecond}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func request(kind Kind, sent, ended float64, status int, whole bool) Request {
	return Request{ID: "a", Kind: kind, Sent: seconds(sent), Ended: seconds(ended), Deadline: seconds(sent + 10), Status: status, Whole: whole}
}

func run(began, ended float64, version int64) Execution {
	return Execution{ID: "a", Server: "s", Began: seconds(began), Ended: seconds(ended), Version: version}
}

// Each planted history breaks just the rule named; those without a rule are as they should be.
func TestPlantedHistories(t *testing.T) {
	term := Strike{Node: 0, Name: Terminate, At: seconds(10), Until: seconds(20), Planned: true}
	kill := Strike{Node: 1, Name: Kill, At: seconds(10), Until: seconds(20)}
	freezeElsewhere := Strike{Node: coreNodes + 1, Name: Freeze, At: seconds(5), Until: seconds(20)}
	foreign := request(Once, 1, 2, 200, true)
	foreign.Foreign = true
	unanswered := request(Once, 1, 1.1, 0, false)
	unanswered.Unanswered = true
	stamped := func(status int, fields ...string) Request {
		r := request(Once, 1, 2, status, true)
		r.Fields = append([]string{"Moleshift-Response-Stamp: s"}, fields...)
		return r
	}
	sent := []Sent{{ID: "a", Status: 200, Fields: []string{"Moleshift-Response-Stamp: s"}}, {ID: "a", Status: 500, Fields: []string{"Moleshift-Response-Stamp: s", "X: 1"}}}
	ownAnswer := request(Once, 1, 2, 502, true)
	ownAnswer.Fields = []string{"Content-Type: text/plain"}
	left := request(Single, 1, 2, 200, false)
	left.Left = true
	broken := run(1, 2, 1)
	broken.Broken = true
	abandoned := run(1.5, 1.6, 1)
	abandoned.CallerLeft = true
	keyed := func(first float64, status int) Request {
		r := request(Keyed, first, first+0.5, status, true)
		r.Key, r.Deadline = "k", seconds(first)+requestDeadline
		return r
	}
	keys := []Key{{Name: "k", Given: seconds(1), TakenSent: seconds(9.9), Taken: seconds(10)}}
	ran := func(at float64) []Execution { return []Execution{run(at, at+0.4, 0)} }
	changes := []Change{{1, seconds(1)}, {2, seconds(5)}}
	ends := []End{{"s", seconds(5)}}
	coreKill := Strike{Node: 0, Name: KillAll, At: seconds(5.5), Until: seconds(9)}
	named := []Naming{{2, seconds(3)}}
	walls := []Isolation{{"w0", seconds(3), seconds(12)}}
	use := func(tenant, maker string) []Use { return []Use{{"a", tenant, maker}} }
	for name, row := range map[string]struct {
		history *History
		rule    string
	}{
		"served":                                      {&History{Requests: []Request{request(Once, 1, 2, 200, true)}, Runs: []Execution{run(1, 2, 0)}}, ""},
		"head as a server sent it":                    {&History{Requests: []Request{stamped(200, "Content-Length: 2")}, Sent: sent}, ""},
		"failure as a server sent it":                 {&History{Requests: []Request{stamped(500, "x: 1")}, Sent: sent}, ""},
		"answer of the node's own":                    {&History{Requests: []Request{ownAnswer}, Sent: sent}, ""},
		"field that no server sent":                   {&History{Requests: []Request{stamped(200, "X Y: 1")}, Sent: sent}, "MIXED"},
		"field of another answer":                     {&History{Requests: []Request{stamped(200, "X: 1")}, Sent: sent}, "MIXED"},
		"status that no server sent":                  {&History{Requests: []Request{stamped(404)}, Sent: sent}, "MIXED"},
		"head of an answer that was none":             {&History{Requests: []Request{stamped(200)}}, "MIXED"},
		"cut while its server was at work":            {&History{Requests: []Request{request(Single, 1, 2, 200, false)}, Runs: []Execution{run(1, 2, 1)}}, "LOST"},
		"closed long after it was sent":               {&History{Requests: []Request{request(Once, 1, 1.5, 0, false)}}, "LOST"},
		"crossed the close of its connection":         {&History{Requests: []Request{request(Once, 1, 1.1, 0, false)}}, ""},
		"the client left":                             {&History{Requests: []Request{left}, Runs: []Execution{run(1, 2, 1)}}, ""},
		"cut while its node drains":                   {&History{Requests: []Request{request(Single, 11, 13, 200, false)}, Runs: []Execution{run(11, 13, 1)}, Strikes: []Strike{term}}, "LOST"},
		"outlasts the grace":                          {&History{Requests: []Request{request(Single, 11, 15.6, 200, false)}, Runs: []Execution{run(11, 15.6, 1)}, Strikes: []Strike{term}}, ""},
		"begun in the last sixth of the grace":        {&History{Requests: []Request{request(Single, 11, 15.6, 200, false)}, Runs: []Execution{run(15.2, 15.6, 1)}, Strikes: []Strike{term}}, ""},
		"sent too late to outlast the grace":          {&History{Requests: []Request{request(Single, 13.1, 15.6, 200, false)}, Runs: []Execution{run(13.2, 15.6, 1)}, Strikes: []Strike{term}}, "LOST"},
		"cut as a process is killed":                  {&History{Requests: []Request{request(Single, 9, 10.1, 200, false)}, Runs: []Execution{run(9, 10.1, 1)}, Strikes: []Strike{kill}}, ""},
		"broken off by its server within the answer":  {&History{Requests: []Request{request(Single, 1, 2, 200, false)}, Runs: []Execution{broken}}, ""},
		"broken off, and run where its node had left": {&History{Requests: []Request{request(Resumable, 1, 2, 200, false)}, Runs: []Execution{broken, abandoned}}, ""},
		"broken off, and run where its node had not":  {&History{Requests: []Request{request(Resumable, 1, 2, 200, false)}, Runs: []Execution{broken, run(1.5, 1.6, 1)}}, "LOST"},
		"taken over after a break, and cut then":      {&History{Requests: []Request{request(Resumable, 1, 3, 200, false)}, Runs: []Execution{broken, run(2, 3, 1)}}, "LOST"},
		"not answered as its server broke off":        {&History{Requests: []Request{request(Single, 1, 2, 0, false)}, Runs: []Execution{broken}}, "LOST"},
		"sent again after its server broke off":       {&History{Requests: []Request{request(Again, 1, 2, 200, true)}, Runs: []Execution{broken, run(2, 3, 1)}}, ""},
		"may run once, sent again after a break":      {&History{Requests: []Request{request(Once, 1, 2, 200, true)}, Runs: []Execution{broken, run(2, 3, 1)}}, "TWICE"},
		"reaches a server that leaves, in time":       {&History{Requests: []Request{request(Once, 6.9, 7.3, 200, true)}, Runs: ran(7.2), Ends: ends}, ""},
		"reaches a server that has left":              {&History{Requests: []Request{request(Once, 7.1, 7.6, 200, true)}, Runs: ran(7.2), Ends: ends}, "DRAIN"},
		"the same, as all nodes have just come back":  {&History{Requests: []Request{request(Once, 8.9, 9.5, 200, true)}, Runs: ran(9), Ends: ends, Strikes: []Strike{coreKill}}, ""},
		"the same, when they are in touch again":      {&History{Requests: []Request{request(Once, 9.1, 9.6, 200, true)}, Runs: ran(9.2), Ends: ends, Strikes: []Strike{coreKill}}, "DRAIN"},
		"uses its own parts behind a wall":            {&History{Requests: []Request{request(Walled, 6, 7, 200, true)}, Runs: ran(6), Uses: use("w0", "w0"), Isolations: walls}, ""},
		"uses parts across a new wall":                {&History{Requests: []Request{request(Walled, 6, 7, 200, true)}, Runs: ran(6), Uses: use("w1", "w0"), Isolations: walls}, "WALL"},
		"the same from the other side":                {&History{Requests: []Request{request(Walled, 6, 7, 200, true)}, Runs: ran(6), Uses: use("w0", "w1"), Isolations: walls}, "WALL"},
		"uses parts across a wall that has just come": {&History{Requests: []Request{request(Walled, 4.9, 6, 200, true)}, Runs: ran(5), Uses: use("w1", "w0"), Isolations: walls}, ""},
		"uses parts where the wall goes":              {&History{Requests: []Request{request(Walled, 11, 12.1, 200, true)}, Runs: ran(11), Uses: use("w1", "w0"), Isolations: walls}, ""},
		"an invalid change is acknowledged":           {&History{Invalid: []string{"{}}"}}, "CONFIG"},
		"a good key":                                  {&History{Requests: []Request{keyed(5, 200)}, Runs: ran(5), Keys: keys}, ""},
		"its key has just gone":                       {&History{Requests: []Request{keyed(12.9, 200)}, Runs: ran(13), Keys: keys}, ""},
		"its key went long ago":                       {&History{Requests: []Request{keyed(13.1, 200)}, Runs: ran(13.2), Keys: keys}, "KEY"},
		"refused as its key has gone":                 {&History{Requests: []Request{keyed(14, 401)}, Keys: keys}, ""},
		"refused as its key has just come":            {&History{Requests: []Request{keyed(2.9, 401)}, Keys: keys}, ""},
		"refused though its key is good":              {&History{Requests: []Request{keyed(5, 401)}, Keys: keys}, "DENIED"},
		"the newest is read":                          {&History{Changes: changes, Reads: []Read{{Sent: seconds(8), Status: 200, Version: 2}}}, ""},
		"an older one is read in time":                {&History{Changes: changes, Reads: []Read{{Sent: seconds(6.9), Status: 200, Version: 1}}}, ""},
		"an older one is read too late":               {&History{Changes: changes, Reads: []Read{{Sent: seconds(7.1), Status: 200, Version: 1}}}, "CONFIG"},
		"a node that gives none":                      {&History{Changes: changes, Reads: []Read{{Sent: seconds(9), Status: 503}}}, ""},
		"acknowledged, and gone in the end":           {&History{Changes: changes, Reads: []Read{{Sent: seconds(30), Status: 200, Version: 1, Final: true}}}, "CONFIG"},
		"nobody has it in the end":                    {&History{Changes: changes, Reads: []Read{{Sent: seconds(30), Status: 503, Final: true}}}, "CONFIG"},
		"no word on a connection that had rested":     {&History{Requests: []Request{unanswered}}, "LOST"},
		"the same, as its node ends":                  {&History{Requests: []Request{unanswered}, Strikes: []Strike{{Node: 0, Name: Terminate, At: seconds(0.9), Until: seconds(9), Planned: true}}}, ""},
		"answer of another request":                   {&History{Requests: []Request{foreign}}, "MIXED"},
		"ran twice":                                   {&History{Requests: []Request{request(Once, 1, 2, 200, true)}, Runs: []Execution{run(1, 1.2, 0), run(1.3, 2, 0)}}, "TWICE"},
		"a stream that may be taken over":             {&History{Requests: []Request{request(Resumable, 1, 2, 200, true)}, Runs: []Execution{run(1, 1.2, 1), run(1.3, 2, 1)}}, ""},
		"refused, and it ran":                         {&History{Requests: []Request{request(Single, 1, 2, 503, true)}, Runs: []Execution{run(1, 2, 1)}}, "REFUSED"},
		"begun in time on older weights": {&History{Requests: []Request{request(Single, 5, 9, 200, true)}, Runs: []Execution{run(6.9, 9, 1)},
			Namings: []Naming{{2, seconds(3)}}}, ""},
		"begun too late on older weights": {&History{Requests: []Request{request(Single, 5, 9, 200, true)}, Runs: []Execution{run(7.1, 9, 1)},
			Namings: []Naming{{2, seconds(3)}}}, "VERSION"},
		"the same, where all nodes that count were killed in between": {&History{Requests: []Request{request(Single, 10, 14, 200, true)}, Runs: []Execution{run(12.9, 14, 1)}, Namings: named, Strikes: []Strike{coreKill}}, ""},
		"begun too late after they were back":                         {&History{Requests: []Request{request(Single, 10, 14, 200, true)}, Runs: []Execution{run(13.1, 14, 1)}, Namings: named, Strikes: []Strike{coreKill}}, "VERSION"},
		"begun too late after one of them was killed":                 {&History{Requests: []Request{request(Single, 10, 14, 200, true)}, Runs: []Execution{run(12.9, 14, 1)}, Namings: named, Strikes: []Strike{{Node: 0, Name: Kill, At: seconds(5.5), Until: seconds(9)}}}, "VERSION"},
		"begun too late while another node that does not count is struck": {&History{Requests: []Request{request(Single, 5, 9, 200, true)},
			Runs: []Execution{run(7.1, 9, 1)}, Namings: []Naming{{2, seconds(3)}}, Strikes: []Strike{freezeElsewhere}}, "VERSION"},
		"a second naming puts nothing off": {&History{Requests: []Request{request(Single, 5, 9, 200, true)}, Runs: []Execution{run(7.1, 9, 1)},
			Namings: []Naming{{2, seconds(3)}, {3, seconds(6)}}}, "VERSION"},
		"begun on the weights before the newest": {&History{Requests: []Request{request(Single, 5, 9, 200, true)}, Runs: []Execution{run(7.1, 9, 2)},
			Namings: []Naming{{2, seconds(3)}, {3, seconds(6)}}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			found, _ := Judge(row.history, testBounds)
			if row.rule == "" {
				must.Len(t, 0, found, must.Sprint(found))
				return
			}
			must.Len(t, 1, found, must.Sprint(found))
			must.Eq(t, row.rule, found[0].Rule)
			must.SliceNotEmpty(t, found[0].Story)
		})
	}
}

// What was struck by something other than planned work is not judged for what is lost, and that is counted.
func TestWhatIsNotJudgedIsCounted(t *testing.T) {
	h := &History{
		Requests: []Request{request(Single, 1, 2, 200, true), request(Single, 11, 12, 200, false)},
		Runs:     []Execution{run(1, 2, 1)},
		Strikes:  []Strike{{Node: 1, Name: Kill, At: seconds(10), Until: seconds(20)}},
	}
	found, judged := Judge(h, testBounds)
	must.Len(t, 0, found)
	must.Eq(t, Judged{Lost: 1, Version: 1}, judged)
}

// orderOf gives a history with one order for v2 that was acknowledged at 1 s and read to have ended.
func orderOf(ended time.Duration, state string) *History {
	return &History{Releases: []ReleaseOrder{{Version: "v2", Sent: 900 * time.Millisecond, Acked: time.Second, Ended: ended, State: state}}}
}

func TestRulesOfReleases(t *testing.T) {
	read := func(h *History, at time.Duration, status int, state, version string) *History {
		h.ReleaseReads = append(h.ReleaseReads, ReleaseRead{Sent: at, Status: status, State: state, Version: version})
		return h
	}
	run := func(h *History, at time.Duration) *History {
		h.Requests = append(h.Requests, Request{ID: "r", Kind: Released, Sent: at, Deadline: at + requestDeadline, Ended: at + time.Second, Status: 200, Whole: true})
		h.Runs = append(h.Runs, Execution{ID: "r", Server: "s", Software: "v2", Began: at, Ended: at + time.Second})
		return h
	}
	strike := func(h *History, name string, from, until time.Duration) *History {
		for i := range coreNodes {
			h.Strikes = append(h.Strikes, Strike{Node: i, Name: name, At: from, Until: until})
		}
		return h
	}
	unacknowledged := &History{Releases: []ReleaseOrder{{Version: "v2", Sent: 3 * time.Second}}}
	for _, row := range []struct {
		name    string
		history *History
		want    string
	}{
		{"carried out", run(read(orderOf(5*time.Second, completed), 2*time.Second, 200, "running", "v2"), 4*time.Second), ""},
		{"runs before it is ordered", run(orderOf(5*time.Second, completed), 500*time.Millisecond), "ROUTE"},
		{"runs after it was rolled back", run(orderOf(3*time.Second, rolledBack), 9*time.Second), "ROUTE"},
		{"the same right behind", run(orderOf(3*time.Second, rolledBack), 4*time.Second), ""},
		{"a read shows another one", read(orderOf(5*time.Second, completed), 2*time.Second, 200, completed, "v1"), "LOST"},
		{"a read shows none", read(orderOf(5*time.Second, completed), 2*time.Second, 404, "", ""), "LOST"},
		{"no answer to a read", read(orderOf(5*time.Second, completed), 2*time.Second, 0, "", ""), ""},
		{"begins nothing", read(orderOf(1200*time.Millisecond, rolledBack), 1100*time.Millisecond, 200, rolledBack, "v2"), "LOST"},
		{"never ends", orderOf(0, ""), "LOST"},
		{"ends late behind a kill of all", strike(orderOf(11*time.Second, completed), KillAll, 5*time.Second, 7*time.Second), "DUTY"},
		{"ends late behind a lost disk", strike(orderOf(11*time.Second, completed), Wipe, 5*time.Second, 7*time.Second), ""},
		{"no acknowledgement", unacknowledged, "ACKS"},
		{"no acknowledgement while members are away", strike(&History{Releases: unacknowledged.Releases}, KillAll, 5*time.Second, 6*time.Second), ""},
	} {
		violations, _ := Judge(row.history, DefaultBounds)
		rules := ""
		for _, v := range violations {
			rules += v.Rule
		}
		must.Eq(t, row.want, rules, must.Sprint(row.name, violations))
	}
}
