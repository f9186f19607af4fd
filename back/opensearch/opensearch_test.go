package opensearch

import (
	"fmt"
	"strings"
	"testing"

	"moleshift/codec"
	"moleshift/internal/golden"
)

func parts(n int) (all []codec.PartSent) {
	for i := range n {
		all = append(
			all,
			codec.PartSent{
				ID:    fmt.Sprintf("q.%d", i),
				Shard: i,
				Wait:  int64(100 + i),
				Text:  []byte(`{"index":"docs","query":{"match_all":{}},"size":3}`),
			},
		)
	}
	return all
}

var names = [...]string{"OK", "FAILED", "FULL", "TIMED OUT", "NO CONNECTION", "RESET", "CANCELLED", "MOOT", "REFUSED"}

// The table of what answers mean, item by item: a success with failures inside is none, and only 429 has
// never run.
func TestAnswers(t *testing.T) {
	good := `{"status":200,"timed_out":false,"_shards":{"total":1,"failed":0},"hits":{"hits":[]}}`
	var out strings.Builder
	call, err := AppendCall(nil, "leaf:1", parts(2))
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&out, "%s\n", strings.ReplaceAll(string(call), "\r", ""))
	for _, c := range []struct {
		status int
		body   string
	}{
		{200, `{"responses":[` + good + `,` + good + `]}`},
		{200, `{"responses":[` + good + `,{"status":429,"error":{}}]}`},
		{200, `{"responses":[` + good + `,{"status":503,"error":{}}]}`},
		{200, `{"responses":[` + good + `,{"status":200,"_shards":{"failed":1},"hits":{}}]}`},
		{200, `{"responses":[` + good + `,{"status":200,"timed_out":true,"_shards":{"failed":0},"hits":{}}]}`},
		{200, `{"responses":[` + good + `,{"status":200}]}`}, {200, `{"responses":[` + good + `,7]}`},
		{200, `{"responses":[` + good + `]}`}, {200, `{}`}, {200, `<html>`}, {200, ``}, {429, `{}`}, {500, `{}`}, {502, ``}, {503, ``}, {504, ``}, {400, ``}, {302, ``},
	} {
		fmt.Fprintf(&out, "%d %s\n ", c.status, c.body)
		for _, a := range ParseAnswer(c.status, []byte(c.body), parts(2)) {
			fmt.Fprintf(&out, " %s %s %q;", a.ID, names[a.Outcome], a.Value)
		}
		fmt.Fprintln(&out)
	}
	golden.Check(t, "answers", out.String())
	for _, text := range []string{"", "moles", `{}`, `{"index":7}`, `[]`} {
		if _, err := AppendCall(nil, "leaf:1", []codec.PartSent{{ID: "q.0", Wait: 1, Text: []byte(text)}}); err == nil {
			t.Errorf("%q can be asked", text)
		}
	}
}

// FuzzAnswer: whatever a server says, each part has one answer.
func FuzzAnswer(f *testing.F) {
	f.Add(200, []byte(`{"responses":[{"status":200,"_shards":{"failed":0},"hits":{}},{}]}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		if a := ParseAnswer(status, body, parts(2)); len(a) != 2 || a[0].ID != "q.0" || a[1].ID != "q.1" {
			t.Fatal(a)
		}
	})
}
