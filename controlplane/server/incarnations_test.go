package server

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"moleshift/peer"
)

func TestNodeIsGoneOnceAnotherIncarnationIsHeardOrItIsSilent(t *testing.T) {
	x := newIncarnations()
	silent := map[string]time.Duration{}
	gone := func(id string) bool {
		return x.gone(id, silent[x.nodes[id].Acceptor])
	}
	must.False(t, gone("a1"), must.Sprint("never heard"))
	x.note(peer.Node{ID: "a1", Address: "10.0.0.1:1", Acceptor: "disk-a"})
	x.note(peer.Node{ID: "b1", Address: "10.0.0.2:1", Acceptor: "disk-b"})
	must.False(t, gone("a1"))

	silent["disk-a"] = goneAfter - 1
	must.False(t, gone("a1"))
	silent["disk-a"] = goneAfter
	must.True(t, gone("a1"))
	must.False(t, gone("b1"))

	silent["disk-a"] = 0 // the same disk, another process
	x.note(peer.Node{ID: "a2", Address: "10.0.0.1:1", Acceptor: "disk-a"})
	must.True(t, gone("a1"))
	must.False(t, gone("a2"))
}

func TestEndedIncarnationsAreForgotten(t *testing.T) {
	x := newIncarnations()
	for i := range 10 * mostIncarnations {
		x.note(peer.Node{ID: fmt.Sprint("n", i), Address: fmt.Sprint("10.0.0.", i%3)})
		must.LessEq(t, mostIncarnations, len(x.nodes))
	}
	must.False(t, x.gone(fmt.Sprint("n", 10*mostIncarnations-1), 0))
}
