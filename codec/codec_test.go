package codec

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"moleshift/internal/golden"
)

// parse feeds a parser through a ring, at most so many bytes a read, and prints what it finds. Pieces of a
// body are printed as one, so that the print does not depend on how it was fed.
func parse(p *Parser, raw string, ringSize, most int) string {
	var out, body strings.Builder
	r, in := NewRing(ringSize), strings.NewReader(raw)
	for {
		step, piece, err := p.Next(r)
		if err != nil {
			return out.String() + fmt.Sprintf("  fault: %v\n", err)
		}
		switch step {
		case More:
			if r.Free() == 0 {
				return out.String() + "  stuck\n"
			}
			if _, err := r.Fill(io.LimitReader(in, int64(most))); err == io.EOF {
				if !p.Between() {
					fmt.Fprintf(&out, "  ends within a message, body %q\n", body.String())
				}
				return out.String()
			}
		case Begun:
			h := &p.Head
			fmt.Fprintf(&out, "  head %s %s %d, closes %v, continues %v, %d fields\n", h.Method, h.Target, h.Status,
				h.Closes(), h.Continues(), len(h.fields))
		case Data:
			body.Write(piece)
		case Ended:
			fmt.Fprintf(&out, "  body %q\n", body.String())
			body.Reset()
		}
	}
}

var messages = []string{
	"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n",
	"POST /a/b HTTP/1.1\r\ncontent-length: 3\r\n\r\nabcPOST /a/c HTTP/1.1\r\nCONTENT-LENGTH:0\r\nConnection: Close\r\n\r\n",
	"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: 1\r\n\r\n",
	"POST /a HTTP/1.0\nContent-Length: 1\n\nx",
	"\r\n\r\nGET / HTTP/1.1\r\n\r\n",
	"POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
	"POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
	"POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
	"POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
	"POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n",
	"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n",
	"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n",
	"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	"POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nab",
	"POST  /a HTTP/1.1\r\n\r\n",
	"POST /a HTTP/2.0\r\n\r\n",
	"POST /a HTTP/1.1\r\nNo colon\r\n\r\n",
	"POST /a HTTP/1.1\r\nName : x\r\n\r\n",
	"P\x00ST /a HTTP/1.1\r\n\r\n",
	"GET /" + strings.Repeat("a", 600) + " HTTP/1.1\r\n\r\n",
	"GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 101) + "\r\n",
	"\r\n\r\n\r\n\r\n\r\nGET / HTTP/1.1\r\n\r\n",
	"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"POST /a\tb HTTP/1.1\r\n\r\n", "POST /a HTTP/1.1\r\nA: b\x07\r\n\r\n", "POST /a HTTP/1.1\r\nA: b\rc\r\n\r\n", "POST /a HTTP/1.1\r\nA: b\r\n c\r\n\r\n",
	"POST /a HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
}

func TestMessages(t *testing.T) {
	var out strings.Builder
	for _, m := range messages {
		shown := m
		if len(shown) > 120 {
			shown = shown[:120] + "..."
		}
		got := parse(new(Parser), m, 256, 1<<20)
		fmt.Fprintf(&out, "%q\n%s", shown, got)
		for _, most := range []int{1, 2, 7} {
			if d := cmp.Diff(got, parse(new(Parser), m, 256, most)); d != "" {
				t.Errorf("%q in reads of %d (-whole +parts):\n%s", m, most, d)
			}
		}
	}
	for _, m := range []string{
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n1\r\n\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nuntil the end", "HTTP/1.1 2x0 OK\r\n\r\n", "SPDY\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n",
	} {
		fmt.Fprintf(&out, "%q\n%s", m, parse(&Parser{Responses: true}, m, 64, 5))
	}
	golden.Check(t, "messages", out.String())
}

// An answer whose status HTTP does not have is none: a probe would take 000 for a success, as it is under 500.
func TestStatusOfAnAnswer(t *testing.T) {
	for line, status := range map[string]int{
		"HTTP/1.1 100 Continue": 100, "HTTP/1.1 200 OK": 200, "HTTP/1.0 200": 200, "HTTP/1.1 204 ": 204, "HTTP/1.1 599 X Y": 599,
		"HTTP/1.1 000 OK": 0, "HTTP/1.1 099 OK": 0, "HTTP/1.1 600 OK": 0, "HTTP/1.1 999 OK": 0, "HTTP/1.1 +20 OK": 0, "HTTP/1.x 200 OK": 0,
		"HTTP/1.2 200 OK": 0, "HTTP/1. 200 OK": 0,
	} {
		r, p := NewRing(128), Parser{Responses: true}
		r.Put([]byte(line + "\r\nContent-Length: 0\r\n\r\n"))
		step, _, err := p.Next(r)
		if status == 0 && err == nil {
			t.Errorf("%q: taken, status %d", line, p.Head.Status)
		}
		if status > 0 && (err != nil || step != Begun || p.Head.Status != status) {
			t.Errorf("%q: status %d, %v", line, p.Head.Status, err)
		}
	}
}

var bodies = []string{
	`{"parts":[{"id":3,"w":0.5,"hint":9000},{"id":9,"w":0.5}],"expr":"c41e77d0"}`,
	` { "expr" : "a\"b\\\u0041\ud83d\ude00\n" , "x":{"parts":[1]}, "parts":[ {"w":1.0,"id":0,"tag":"00ff","y":[{}]} ] } `,
	`{"parts":[],"expr":"a"}`, `{"parts":[{"id":3,"w":1}]}`, `{"expr":"a"}`, `[]`, `{`, ``, `{}}`, `nul`,
	`{"parts":[{"id":3,"w":0.5},{"id":3,"w":0.5}],"expr":"a"}`, `{"parts":[{"id":18,"w":1}],"expr":"a"}`,
	`{"parts":[{"id":-1,"w":1}],"expr":"a"}`, `{"parts":[{"id":1.5,"w":1}],"expr":"a"}`,
	`{"parts":[{"id":1,"w":-1}],"expr":"a"}`, `{"parts":[{"id":1,"w":0.2}],"expr":"a"}`,
	`{"parts":[{"id":"1","w":1}],"expr":"a"}`, `{"parts":[{"w":1}],"expr":"a"}`, `{"parts":{"id":1},"expr":"a"}`,
	`{"parts":[{"id":1,"w":1}],"expr":7}`, `{"parts":[{"id":1,"w":1,"hint":-5}],"expr":"a"}`,
	`{"parts":[{"id":1,"w":01}],"expr":"a"}`, `{"parts":[{"id":1,"w":1,}],"expr":"a"}`,
	`{"parts":[{"id":1,"w":1}],"expr":"a` + "\n" + `"}`, strings.Repeat("[", 100), `{"expr":"\ud83dx","parts":[{"id":1,"w":1}]}`,
	`{"parts":[{"id":1,"w":0.3333},{"id":2,"w":0.3333},{"id":3,"w":0.3333}],"expr":"a"}`,
	`{"parts":[{"id":1,"w":0.333},{"id":2,"w":0.333},{"id":3,"w":0.333}],"expr":"a"}`, `{"parts":[{"id":1,"w":1.001}],"expr":"a"}`,
	`{"parts":[{"id":1.0,"w":1}],"expr":"a"}`, `{"parts":[{"id":1e0,"w":1}],"expr":"a"}`, `{"parts":[{"id":1,"w":1}],"expr":"a"} x`,
	`{"parts":[{"id":1,"id":2,"w":1}],"expr":"a"}`, `{"parts":[{"id":1,"w":1}],"parts":[{"id":2,"w":1}],"expr":"a"}`,
}

func query(raw string, most int) string {
	q := NewQueryBody(18)
	for rest := raw; rest != ""; {
		n := min(most, len(rest))
		if err := q.Feed([]byte(rest[:n])); err != nil {
			return "  " + err.Error() + "\n"
		}
		rest = rest[n:]
	}
	if err := q.End(); err != nil {
		return "  at the end: " + err.Error() + "\n"
	}
	return fmt.Sprintf("  %v %q\n", q.Parts, q.Text)
}

func TestQueries(t *testing.T) {
	var out strings.Builder
	for _, b := range bodies {
		got := query(b, 1<<20)
		fmt.Fprintf(&out, "%q\n%s", b, got)
		if d := cmp.Diff(got, query(b, 1)); d != "" {
			t.Errorf("%q in single bytes (-whole +parts):\n%s", b, d)
		}
	}
	out.Write(AppendResponse(nil, 200, 5, true, "Retry-After: 0.250\r\n"))
	out.Write(AppendAnswer(nil, true, []Row{{Shard: 3, Value: []byte("5be2")}, {Shard: 9, Value: []byte("\"\\\x01é")}}))
	golden.Check(t, "queries", out.String()+"\n")
}

// answers prints what a stream of frames holds.
func answers(raw string, most int) string {
	var out strings.Builder
	r, in, f := NewRing(16), strings.NewReader(raw), FrameReader{Most: 100}
	for {
		frame, whole, err := f.Next(r)
		if err != nil {
			return out.String() + "  fault: " + err.Error() + "\n"
		}
		if !whole {
			if _, err := r.Fill(io.LimitReader(in, int64(most))); err == io.EOF {
				return out.String()
			}
			continue
		}
		switch frame.Letter {
		case LetterAnswer:
			a, err := ParseAnswer(frame.Rest)
			if err != nil {
				return out.String() + "  fault: " + err.Error() + "\n"
			}
			fmt.Fprintf(&out, "  answer %s outcome %d value %q", a.ID, a.Outcome, a.Value)
			if a.Report != nil {
				fmt.Fprintf(&out, " report %v", *a.Report)
			}
			out.WriteByte('\n')
		case LetterProbe, LetterLoad:
			o, rep := ParseProbe(frame.Rest)
			fmt.Fprintf(&out, "  probe %d, report %v\n", o, rep != nil)
		default:
			fmt.Fprintf(&out, "  %c %q\n", frame.Letter, frame.Rest)
		}
	}
}

func framed(rests ...string) string {
	var out []byte
	for _, r := range rests {
		out = append(binary.BigEndian.AppendUint32(out, uint32(len(r))), r...)
	}
	return string(out)
}

var streams = []string{
	framed("Oab.3 200 184 inflight=7,util=0.61,odd=1\nvalue\nwith a line", "Oab.4 503 0 -\n", "Oab.5 500 - -\n"),
	framed("I200", "I500", "U-", "Ulatency_ms=14.5,queue=2", "U500", "Uqueue", "Zno such part"),
	framed("Oab.3 200 184 -"), framed("Oab.3 404 0 -\n"), framed("Oab.3 200\n"), framed("Oa 200 1 util=NaN\n"),
	framed("O 200 1 -\n"), "\x00\x00\x00\x00", "\x00\x00\x00\xff", "\xff\xff\xff\xffO", framed("I200")[:6],
	framed("Oa 200 ? -\nv"), framed("Oa 200 1 latency_ms=?\nv"), framed("Oa 0 1 -\nv"), framed("Oa  1 -\nv"), framed("\x01a 200 1 -\nv"),
	"\x00\x00\x00\x03Oa 200 1 -\nv", "\xb2\xd0^\x00Oa 200 1 -\nv", framed("Oa 200 1 -\nv") + "\xad\x0e\xa5\x95noise",
}

func TestFrames(t *testing.T) {
	var out strings.Builder
	for _, s := range streams {
		got := answers(s, 1<<20)
		fmt.Fprintf(&out, "%q\n%s", s, got)
		if d := cmp.Diff(got, answers(s, 1)); d != "" {
			t.Errorf("%q in single bytes (-whole +parts):\n%s", s, d)
		}
	}
	var sent bytes.Buffer
	w := NewWriter(&sent, 8)
	w.Write(AppendCall(nil, []PartSent{{"9b1f.3", 3, 240, "", []byte("c41e77d0")}, {"9b1f.9", 9, 240, "", nil}}))
	w.Write(AppendFrame(nil, LetterGiveUp, "9b1f.3"))
	w.Write(AppendFrame(nil, LetterProbe, ""))
	w.Flush()
	fmt.Fprintf(&out, "sent %q, taken %d of %d\n", sent.String(), w.Taken, w.Given)
	golden.Check(t, "frames", out.String())
}

// stingy takes so many bytes and then breaks.
type stingy struct{ left int }

var errBroke = errors.New("broke")

func (s *stingy) Write(p []byte) (int, error) {
	n := min(len(p), s.left)
	if s.left -= n; n < len(p) {
		return n, errBroke
	}
	return n, nil
}

// What a connection took is counted to the byte: "never ran" hangs on it.
func TestWriterCounts(t *testing.T) {
	for left := range 40 {
		w := NewWriter(&stingy{left}, 8)
		w.Write(make([]byte, 30))
		if err := w.Flush(); w.Taken != int64(min(left, 30)) || (err != nil) != (left < 30) {
			t.Errorf("room for %d: %d taken, %v", left, w.Taken, err)
		}
	}
}

// A ring holds just what went in and has not come out, wherever it wraps.
func TestRingWraps(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	r, next := NewRing(13), byte(0)
	var want []byte
	for range 5000 {
		p := make([]byte, rng.Intn(15))
		for i := range p {
			p[i] = next + byte(i)
		}
		n := 0
		if rng.Intn(2) == 0 {
			n = r.Put(p)
		} else if r.Free() > 0 && len(p) > 0 {
			n, _ = r.Fill(bytes.NewReader(p))
		}
		want, next = append(want, p[:n]...), next+byte(n)
		if head := r.Head(); !bytes.HasPrefix(want, head) || len(head) == 0 != (len(want) == 0) || r.Len() != len(want) {
			t.Fatalf("holds %v, want %v", head, want)
		}
		if rng.Intn(4) == 0 {
			if line, whole := r.Line(nil); whole {
				i := bytes.IndexByte(want, '\n')
				if !bytes.Equal(line, bytes.TrimSuffix(want[:i], []byte("\r"))) {
					t.Fatalf("line %v, want %v", line, want[:i])
				}
				want = want[i+1:]
			} else if bytes.IndexByte(want, '\n') >= 0 {
				t.Fatal("a line was not seen")
			}
		}
		skip := rng.Intn(len(r.Head()) + 1)
		r.Skip(skip)
		want = want[skip:]
	}
}

// However a message is cut up, the parsers find the same, and nothing makes them panic.
func FuzzMessages(f *testing.F) {
	for _, m := range messages {
		f.Add(m, 3)
	}
	f.Fuzz(func(t *testing.T, raw string, most int) {
		most = max(most%100, 1)
		if d := cmp.Diff(parse(new(Parser), raw, 128, 1<<20), parse(new(Parser), raw, 128, most)); d != "" {
			t.Error(d)
		}
	})
}

func FuzzQueries(f *testing.F) { fuzz(f, bodies, query) }
func FuzzFrames(f *testing.F)  { fuzz(f, streams, answers) }

// fuzz feeds what it makes of the seeds whole and in single bytes.
func fuzz(f *testing.F, seeds []string, show func(raw string, most int) string) {
	for _, s := range seeds {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		if d := cmp.Diff(show(raw, 1<<20), show(raw, 1)); d != "" {
			t.Error(d)
		}
	})
}

// Objects of a stream end where they end, on one line or over several, however they are cut into pieces; empty lines
// between them are signs of life, and those within them are not.
func TestValues(t *testing.T) {
	out := ""
	for _, raw := range []string{
		"{\"a\":1}\n{\"b\":[{}]}\r\n\n\n", "{\n  \"a\": \"}{\\\"\\\\\",\n  \"b\": [\n  ]\n}\n", "{}{}", "  \t\r\n{}", "[1]\n", "{\"a\":1}x",
		"{\"never\":\n\n\n\n", strings.Repeat("{", 50), "{\"cut\":\"", "}\n",
	} {
		var first string
		for most := 1; most <= len(raw); most++ {
			v, said := Values{Most: 40}, fmt.Sprintf("%q\n", raw)
			for rest := raw; rest != ""; {
				n := min(most, len(rest))
				if err := v.Feed([]byte(rest[:n]), func(o []byte) error {
					if o == nil {
						said += "  life\n"
					} else {
						said += fmt.Sprintf("  object %q\n", o)
					}
					return nil
				}); err != nil {
					said += fmt.Sprintf("  fault: %v\n", err)
					break
				}
				rest = rest[n:]
			}
			if first == "" {
				first = said
			} else if d := cmp.Diff(first, said); d != "" {
				t.Errorf("in pieces of %d: %s", most, d)
			}
		}
		out += first
	}
	golden.Check(t, "values", out)
}
