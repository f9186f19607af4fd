package proxy

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A stream can be taken up after its last event only where that event named an id.
func TestEventsWithoutIDs(t *testing.T) {
	for _, row := range []struct {
		text       string
		lastID     string
		unnumbered bool
	}{
		{"id: 4\ndata: x\n\n", "4", false},
		{"data: x\n\n", "", true},
		{"id: 4\ndata: x\n\ndata: y\n\n", "4", true},
		{"data: x\n\nid: 5\ndata: y\n\n", "5", false},
		{"id: 4\ndata: x\n\n: nothing yet\n\n", "4", false},
		{"id: 4\r\ndata: x\r\n\r\ndata: y\r\n\r\n", "4", true},
	} {
		events := eventBuffer{pending: []byte(row.text)}
		must.Eq(t, row.text, string(events.whole()))
		must.Eq(t, row.lastID, events.lastID, must.Sprint(row.text))
		must.Eq(t, row.unnumbered, events.unnumbered, must.Sprint(row.text))
	}
}
