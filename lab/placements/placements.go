// Package placements tells from the request logs of all routers where servers had the shared parts of prompts from, and why parts were
// read again that some server had read before.
//
// It reads the lines "request sent" of the level debug. A line may have text before its JSON, as the operators' bench writes it: the
// seconds since the day began, and the router. Without them the time that the router wrote counts, which has whole seconds only.
package placements

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"
)

const (
	sentMessage = "request sent"
	longestLine = 1 << 20 // bytes
	leastRead   = 64      // tokens: less than that is no part of its own
)

// Sent is a request that a router sent to a server.
type Sent struct {
	At       time.Duration // since the day began, or where a log has no such figure, since 1970
	Instance string
	Reason   string
	Salt     string // under which the server keeps the prompt's parts
	Prompt   string // the last of its shared parts
	Shared   float64
	Kept     float64
	Fetched  float64
	Saved    bool
}

type line struct {
	Message  string    `json:"message"`
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Reason   string    `json:"reason"`
	Salt     string    `json:"salt"`
	Prompt   string    `json:"prompt"`
	Shared   float64   `json:"shared-tokens"`
	Kept     float64   `json:"kept-tokens"`
	Fetched  float64   `json:"fetched-tokens"`
	Saved    bool      `json:"saved"`
}

// Read reads logs, of one router or of several one after the other. Lines of other kinds are passed over.
func Read(r io.Reader) ([]Sent, error) {
	var list []Sent
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, []byte(sentMessage)) {
			continue
		}
		var l line
		if json.Unmarshal(text[start:], &l) != nil || l.Message != sentMessage {
			continue
		}
		at, ok := secondsBefore(text[:start])
		if !ok {
			at = time.Duration(l.Time.UnixNano()) // logs of several routers have to be put in one order
		}
		list = append(list, Sent{
			At: at, Instance: l.Instance, Reason: l.Reason, Salt: l.Salt, Prompt: l.Prompt,
			Shared: l.Shared, Kept: l.Kept, Fetched: l.Fetched, Saved: l.Saved,
		})
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("a log line of over %d bytes, or the log ends: %w", longestLine, err)
	}
	return list, nil
}

// secondsBefore reads the seconds with which a line begins.
func secondsBefore(prefix []byte) (time.Duration, bool) {
	fields := bytes.Fields(prefix)
	if len(fields) == 0 {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(string(fields[0]), 64)
	return time.Duration(seconds * float64(time.Second)), err == nil
}

// ages are the bounds by which times since the last use of a prompt are told apart.
var ages = []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 6 * time.Second, 10 * time.Second}

// Age is what became of prompts that were last used so long ago.
type Age struct {
	Until      time.Duration `json:"until_ns"` // 0: whatever is older
	Requests   int           `json:"requests"`
	SameServer int           `json:"same_server"` // that went to the server of the last use
	ReadAgain  int           `json:"read_again"`  // that had shared parts read again
}

// Table is what the requests of a log come to. Tokens are those of shared parts.
type Table struct {
	Requests  int            `json:"requests"`
	Prompts   int            `json:"prompts"` // with shared parts, told apart by salt
	Reasons   map[string]int `json:"reasons"`
	Saves     int            `json:"saves"`
	Kept      float64        `json:"kept"`
	Fetched   float64        `json:"fetched"`
	ReadFirst float64        `json:"read_first"`
	Again     float64        `json:"read_again"`
	Ages      []Age          `json:"ages"`
}

// lastUse is the last request with a prompt.
type lastUse struct {
	at       time.Duration
	instance string
}

// Count counts requests, of whatever order, whose prompts have at least so many shared tokens.
func Count(list []Sent, leastShared float64) *Table {
	t := &Table{Reasons: map[string]int{}, Ages: make([]Age, len(ages)+1)}
	for i, until := range ages {
		t.Ages[i].Until = until
	}
	type prompt struct{ salt, last string }
	used := map[prompt]lastUse{}
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b Sent) int { return cmp.Compare(a.At, b.At) })
	for _, s := range list {
		if s.Shared < max(leastShared, leastRead) {
			continue
		}
		key := prompt{s.Salt, s.Prompt}
		last, before := used[key]
		t.add(&s, last, before)
		used[key] = lastUse{s.At, s.Instance}
	}
	t.Prompts = len(used)
	return t
}

func (t *Table) add(s *Sent, last lastUse, before bool) {
	t.Requests++
	t.Reasons[s.Reason]++
	if s.Saved {
		t.Saves++
	}
	fetched := min(s.Fetched, s.Shared-s.Kept)
	read := s.Shared - s.Kept - fetched
	t.Kept += s.Kept
	t.Fetched += fetched
	if !before {
		t.ReadFirst += read
		return
	}
	t.Again += read
	i := slices.IndexFunc(ages, func(until time.Duration) bool { return s.At-last.at < until })
	if i < 0 {
		i = len(ages)
	}
	age := &t.Ages[i]
	age.Requests++
	if s.Instance == last.instance {
		age.SameServer++
	}
	if read >= leastRead {
		age.ReadAgain++
	}
}

// Write writes the table as text.
func (t *Table) Write(w io.Writer) {
	fmt.Fprintf(w, "%d requests with %d prompts; saves %d; by reason:", t.Requests, t.Prompts, t.Saves)
	var reasons []string
	for reason := range t.Reasons {
		reasons = append(reasons, reason)
	}
	slices.Sort(reasons)
	for _, reason := range reasons {
		fmt.Fprintf(w, " %s %d;", reason, t.Reasons[reason])
	}
	fmt.Fprintln(w)
	const million = 1e6
	fmt.Fprintf(w, "million shared tokens: kept at the server %.2f, fetched %.2f, read for the first time %.2f, read again %.2f\n",
		t.Kept/million, t.Fetched/million, t.ReadFirst/million, t.Again/million)
	fmt.Fprintln(w, "last use        requests  same server  read again")
	for _, age := range t.Ages {
		name := "longer ago"
		if age.Until > 0 {
			name = "within " + age.Until.String()
		}
		fmt.Fprintf(w, "%-14s %9d %12d %11d\n", name, age.Requests, age.SameServer, age.ReadAgain)
	}
}
