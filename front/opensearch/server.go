package opensearch

// server.go owns the listener, the paths, and one search from its request to its answer. It must never answer
// a search twice, and never keep a final answer back.

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"moleshift/merge"
)

// Index is a name that clients search, and what it stands for.
type Index struct {
	Name     string
	Vertical string
	Shards   []int
}

// Question is what the router is asked.
type Question struct {
	Vertical, Tenant string
	Wait             time.Duration // at most; 0: the vertical's
	Shards           []int
	Text             string
}

// Row is a shard's answer.
type Row struct {
	Shard int
	Value []byte
}

// Reply is the router's one final answer.
type Reply struct {
	Outcome Outcome
	Whole   bool          // all that the vertical asks for is in Rows, be that all shards or some
	HoldOff time.Duration // of one that is refused: when to come back
	Rows    []Row
	Done    func() // what it holds may be let go; never nil
}

// Outcome is how a question ended.
type Outcome int

const (
	Answered Outcome = iota
	Refused
	Failed
)

// Asker is the router.
type Asker interface {
	// Ask asks a question and waits for its final answer. When the context ends the client has gone.
	Ask(ctx context.Context, q *Question) (*Reply, error)
}

// Settings is what the front is told.
type Settings struct {
	Indices []Index
	Tenant  string // header that names the tenant
	Name    string // of the node
	Leaves  func() []Leaf
	// Take takes room in memory for so many bytes of a request, and Return gives them back. What finds no
	// room is turned away with when to come back.
	Take    func(bytes int) bool
	Return  func(bytes int)
	HoldOff time.Duration
}

// Leaf is one server, for _cat/shards.
type Leaf struct {
	ID     string
	Serves bool
	Shards []int
}

// Front answers.
type Front struct {
	set  Settings
	ask  Asker
	http *http.Server
}

const (
	readTime  = 5 * time.Second
	idleTime  = 30 * time.Second
	mostBulk  = 64      // searches in one _msearch
	mostMulti = 1 << 20 // bytes of one
	bodyStep  = 4 << 10 // in which room for a body is taken

	notNeeded = "not needed: the index asks for a part of its shards only"
)

// New makes a front.
func New(set Settings, ask Asker) *Front {
	f := &Front{set: set, ask: ask}
	f.http = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: readTime,
		ReadTimeout:       2 * readTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    16 << 10,
	}
	return f
}

// Serve takes connections until the context ends.
func (f *Front) Serve(ctx context.Context, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { f.http.Close() })()
	if err := f.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Drain takes nothing new; what is open is answered.
func (f *Front) Drain(ctx context.Context) error { return f.http.Shutdown(ctx) }

// ServeHTTP answers one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	get := r.Method == http.MethodGet || r.Method == http.MethodHead
	switch last := path[len(path)-1]; {
	case r.URL.Path == "/" && get:
		f.info(w)
	case r.URL.Path == "/_cluster/health" && get:
		f.health(w)
	case r.URL.Path == "/_cat/shards" && get:
		f.shards(w, r)
	case last == "_msearch" && len(path) <= 2 && (get || r.Method == http.MethodPost):
		f.multi(w, r, path)
	case (last == "_search" || last == "_count") && len(path) == 2 && (get || r.Method == http.MethodPost):
		f.one(w, r, path[0], last == "_count")
	case last == "_search" || last == "_count" || last == "_msearch":
		f.fault(
			w,
			&Fault{
				http.StatusMethodNotAllowed,
				"method_not_allowed_exception",
				"GET or POST, with one index",
			},
			nil,
			0,
		)
	default:
		f.fault(
			w,
			&Fault{
				http.StatusBadRequest,
				"illegal_argument_exception",
				fmt.Sprintf("%s %s is not supported", r.Method, r.URL.Path),
			},
			nil,
			0,
		)
	}
}

func (f *Front) write(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil { // what is written comes from answers that were checked
		status, raw = http.StatusInternalServerError, []byte(
			`{"error":{"type":"exception","reason":"the answer can't be written"},"status":500}`,
		)
	}
	w.Header().Set("Content-Type", "application/json; charset=UTF-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	w.Write(raw) // an error is the client's: it has gone
}

func (f *Front) fault(w http.ResponseWriter, fault *Fault, failed []wireFailure, holdOff time.Duration) {
	if holdOff > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(holdOff.Seconds(), 'f', 3, 64))
	}
	f.write(w, fault.Status, fault.body(failed))
}

// errNoRoom: a body had no room. Nothing of it has been asked.
var errNoRoom = &Fault{
	http.StatusTooManyRequests,
	"circuit_breaking_exception",
	"no room for the request's body; it is harmless to ask again",
}

// comeBack is when to ask again after an error; 0: there is nothing to wait for.
func (f *Front) comeBack(err error) time.Duration {
	if err == errNoRoom {
		return f.set.HoldOff
	}
	return 0
}

// faultOf words any error.
func faultOf(err error) *Fault {
	var f *Fault
	if errors.As(err, &f) {
		return f
	}
	return &Fault{http.StatusInternalServerError, "exception", err.Error()}
}

func (f *Front) index(name string) (*Index, error) {
	for i := range f.set.Indices {
		if f.set.Indices[i].Name == name {
			return &f.set.Indices[i], nil
		}
	}
	return nil, &Fault{
		http.StatusNotFound,
		"index_not_found_exception",
		fmt.Sprintf("no such index [%s]", name),
	}
}

// params are what a request line may say. What it does not know is refused, as a search without it would be
// another one.
func params(s *Search, r *http.Request, count bool) error {
	for key, values := range r.URL.Query() {
		value := values[len(values)-1]
		var err error
		switch key {
		case "from", "size":
			n := 0
			if n, err = strconv.Atoi(value); err != nil || n < 0 {
				return illegal("[%s] must be a whole number, 0 or more", key)
			}
			if key == "from" {
				s.Spec.From = n
			} else {
				s.Spec.Size = n
			}
		case "timeout":
			s.Timeout, err = ParseTime(value)
		case "allow_partial_search_results":
			s.Partial, err = strconv.ParseBool(value)
		case "track_total_hits":
			err = s.parseTrack(json.RawMessage(value))
		case "q":
			s.Query, err = json.Marshal(map[string]any{"query_string": map[string]string{"query": value}})
		case "preference",
			"routing",
			"pretty",
			"human",
			"rest_total_hits_as_int",
			"typed_keys",
			"ccs_minimize_roundtrips",
			"max_concurrent_shard_requests",
			"search_type",
			"batched_reduce_size",
			"request_cache":
			if key == "rest_total_hits_as_int" && value != "false" ||
				key == "typed_keys" && value != "false" ||
				key == "routing" {
				return illegal("request [%s] contains unsupported parameter [%s]", r.URL.Path, key)
			}
		default:
			return illegal("request [%s] contains unrecognized parameter [%s]", r.URL.Path, key)
		}
		if err != nil {
			if _, is := err.(*Fault); !is {
				err = illegal("[%s]: %v", key, err)
			}
			return err
		}
	}
	if count {
		s.Spec.From, s.Spec.Size, s.Spec.Track, s.Partial = 0, 0, -1, false
	}
	if err := s.Spec.Check(); err != nil {
		return illegal("%v", err)
	}
	return nil
}

// body reads a request's body into room that is taken as it comes. Free gives the room back, and is to be
// called once nothing of the body is needed any more, also after an error.
func (f *Front) body(r *http.Request, most int) (body []byte, free func(), err error) {
	taken := 0
	free = func() { f.set.Return(taken) }
	var text bytes.Buffer
	for text.Len() <= most {
		if !f.set.Take(bodyStep) {
			return nil, free, errNoRoom
		}
		taken += bodyStep
		switch _, err := io.CopyN(&text, r.Body, bodyStep); {
		case err == io.EOF && text.Len() <= most:
			return text.Bytes(), free, nil
		case err != nil && err != io.EOF:
			return nil, free, err
		}
	}
	return nil, free, &Fault{
		http.StatusRequestEntityTooLarge,
		"content_too_long_exception",
		fmt.Sprintf("more than %d bytes", most),
	}
}

// one answers a search or a count. A count can't say that it is not whole, so it fails where it would not be.
func (f *Front) one(w http.ResponseWriter, r *http.Request, name string, count bool) {
	body, free, err := f.body(r, mostBody)
	defer free()
	var index *Index
	if err == nil {
		index, err = f.index(name)
	}
	var s *Search
	if err == nil {
		s, err = ParseSearch(body)
	}
	if err == nil {
		err = params(s, r, count)
	}
	if err != nil {
		f.fault(w, faultOf(err), nil, f.comeBack(err))
		return
	}
	if count && (s.Spec.After != nil || s.aggs != nil || s.sort != nil) {
		f.fault(w, parsing("a count takes a query alone"), nil, 0)
		return
	}
	a, fault, failed, holdOff := f.search(r.Context(), index, s, r.Header.Get(f.set.Tenant))
	switch {
	case fault != nil:
		f.fault(w, fault, failed, holdOff)
	case count:
		f.write(w, http.StatusOK, map[string]any{"count": a.Hits.Total.Value, "_shards": a.Shards})
	default:
		f.write(w, http.StatusOK, a)
	}
}

// search asks the router and merges. Either an answer or a fault comes back.
func (f *Front) search(
	ctx context.Context,
	index *Index,
	s *Search,
	tenant string,
) (*wireAnswer, *Fault, []wireFailure, time.Duration) {
	begun := time.Now()
	text, err := s.Text(index.Name)
	if err != nil {
		return nil, faultOf(err), nil, 0
	}
	reply, err := f.ask.Ask(
		ctx,
		&Question{
			Vertical: index.Vertical,
			Tenant:   tenant,
			Wait:     s.Timeout,
			Shards:   index.Shards,
			Text:     text,
		},
	)
	if err != nil {
		return nil, faultOf(err), nil, 0
	}
	defer reply.Done()
	switch reply.Outcome {
	case Refused:
		return nil, &Fault{
			http.StatusTooManyRequests,
			"rejected_execution_exception",
			"the search was turned away; it is harmless to ask again",
		}, nil, reply.HoldOff
	case Failed: // it may have run, so not by a status at which client libraries ask again of themselves (502, 503, 504)
		return nil, &Fault{
			http.StatusInternalServerError,
			"search_phase_execution_exception",
			"not enough shards answered",
		}, nil, 0
	}
	m := merge.New(s.Spec, index.Shards)
	if reply.Whole {
		for _, shard := range index.Shards {
			m.Fail(shard, notNeeded)
		}
	}
	for _, row := range reply.Rows {
		p, err := ParsePartial(s, row.Shard, row.Value)
		if err != nil {
			m.Fail(row.Shard, err.Error())
			continue
		}
		m.Add(p) // an error is a failure that the result tells of
	}
	r := m.Result()
	late := s.Timeout > 0 && time.Since(begun) >= s.Timeout
	a, err := answer(s, r, time.Since(begun), late && !r.Whole())
	if err != nil {
		return nil, faultOf(err), nil, 0
	}
	if !r.Whole() && (!s.Partial || len(r.In) == 0) {
		return nil, &Fault{http.StatusInternalServerError, "search_phase_execution_exception",
			fmt.Sprintf(
				"%d of %d shards are not in the answer",
				len(r.Failures),
				r.Asked,
			)}, a.Shards.Failures, 0
	}
	return a, nil, nil, 0
}

// multi answers several searches, each by itself: an item that fails says nothing of the others.
func (f *Front) multi(w http.ResponseWriter, r *http.Request, path []string) {
	body, free, err := f.body(r, mostMulti)
	defer free()
	var lines [][]byte
	if err == nil {
		lines, err = pairs(body)
	}
	if err != nil {
		f.fault(w, faultOf(err), nil, f.comeBack(err))
		return
	}
	begun := time.Now()
	items := make([]any, len(lines)/2)
	done := make(chan int)
	for i := range items {
		go func() {
			items[i] = f.item(r, path, lines[2*i], lines[2*i+1])
			done <- i
		}()
	}
	for range items {
		<-done
	}
	f.write(w, http.StatusOK, map[string]any{"took": time.Since(begun).Milliseconds(), "responses": items})
}

// pairs are the lines of an _msearch: for each search a head and a body, the last one with or without its
// line's end.
func pairs(body []byte) (lines [][]byte, err error) {
	for line := range bytes.SplitSeq(bytes.TrimSuffix(body, []byte{'\n'}), []byte{'\n'}) {
		lines = append(lines, bytes.TrimSuffix(line, []byte{'\r'}))
	}
	if len(bytes.TrimSpace(body)) == 0 || len(lines)%2 != 0 {
		return nil, parsing("a head and a body are expected for each search, a line each")
	}
	if len(lines)/2 > mostBulk {
		return nil, illegal("%d searches, %d at most", len(lines)/2, mostBulk)
	}
	return lines, nil
}

func (f *Front) item(r *http.Request, path []string, head, body []byte) any {
	name := ""
	if len(path) == 2 {
		name = path[0]
	}
	allow := ""
	err := func() error {
		if len(bytes.TrimSpace(head)) == 0 {
			return nil
		}
		all, err := object(head)
		if err != nil {
			return err
		}
		for _, h := range all {
			switch h.key {
			case "index":
				var one string
				var list []string
				if json.Unmarshal(h.value, &one) != nil &&
					(json.Unmarshal(h.value, &list) != nil || len(list) != 1) {
					return illegal("[index] must be one name")
				}
				if name = one; len(list) == 1 {
					name = list[0]
				}
			case "allow_partial_search_results":
				allow = string(h.value)
			case "preference", "search_type", "request_cache":
			default:
				return parsing("unknown key [%s] in the head of a search", h.key)
			}
		}
		return nil
	}()
	if err != nil {
		return faultOf(err).body(nil)
	}
	index, err := f.index(name)
	if err != nil {
		return faultOf(err).body(nil)
	}
	if len(body) > mostBody {
		return (&Fault{http.StatusRequestEntityTooLarge, "content_too_long_exception", fmt.Sprintf("more than %d bytes", mostBody)}).body(
			nil,
		)
	}
	s, err := ParseSearch(body)
	if err != nil {
		return faultOf(err).body(nil)
	}
	s.Partial = allow != "false"
	a, fault, failed, _ := f.search(r.Context(), index, s, r.Header.Get(f.set.Tenant))
	if fault != nil {
		return fault.body(failed)
	}
	a.Status = http.StatusOK
	return a
}

// info is what client libraries ask before their first search.
func (f *Front) info(w http.ResponseWriter) {
	f.write(
		w,
		http.StatusOK,
		map[string]any{"name": f.set.Name, "cluster_name": "moleshift", "version": map[string]any{
			"distribution": "opensearch", "number": "2.11.0", "build_type": "moleshift", "minimum_wire_compatibility_version": "7.10.0",
			"minimum_index_compatibility_version": "7.0.0"}, "tagline": "a query router that answers in the style of the OpenSearch API"},
	)
}

// health: green while every shard of every index is held by a leaf in service, yellow while by one only, red
// while by none.
func (f *Front) health(w http.ResponseWriter) {
	holders := f.holders()
	status, active, missing := "green", 0, 0
	for _, x := range f.set.Indices {
		for _, s := range x.Shards {
			switch n := holders[s]; {
			case n == 0:
				status = "red"
				missing++
			case n == 1 && status == "green":
				status = "yellow"
				fallthrough
			default:
				active += n
			}
		}
	}
	f.write(
		w,
		http.StatusOK,
		map[string]any{
			"cluster_name":      "moleshift",
			"status":            status,
			"timed_out":         false,
			"number_of_nodes":   len(f.set.Leaves()),
			"active_shards":     active,
			"unassigned_shards": missing,
		},
	)
}

func (f *Front) holders() map[int]int {
	holders := map[int]int{}
	for _, l := range f.set.Leaves() {
		for _, s := range l.Shards {
			if l.Serves {
				holders[s]++
			}
		}
	}
	return holders
}

// shards lists which leaf holds what, as JSON where that is asked for.
func (f *Front) shards(w http.ResponseWriter, r *http.Request) {
	type row struct {
		Index string `json:"index"`
		Shard string `json:"shard"`
		State string `json:"state"`
		Node  string `json:"node"`
	}
	rows := []row{}
	for _, x := range f.set.Indices {
		for _, s := range x.Shards {
			for _, l := range f.set.Leaves() {
				for _, held := range l.Shards {
					state := "STARTED"
					if !l.Serves {
						state = "RELOCATING"
					}
					if held == s {
						rows = append(rows, row{x.Name, strconv.Itoa(s), state, l.ID})
					}
				}
			}
		}
	}
	if r.URL.Query().Get("format") == "json" {
		f.write(w, http.StatusOK, rows)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=UTF-8")
	for _, x := range rows {
		fmt.Fprintf(w, "%s %s %s %s\n", x.Index, x.Shard, x.State, x.Node)
	}
}
