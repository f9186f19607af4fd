package peer_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/tinylib/msgp/msgp"
	"go.uber.org/goleak"

	"moleshift/peer"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, // the library's cleaners end by themselves, later
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// Guards against the answer to a call that was given up being taken for that to the next call between the same two nodes.
func TestLateAnswerIsNotTakenForThatToTheNextCall(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	release := make(chan struct{})
	server := peer.NewServer(map[string]peer.Handler{"/order": func(in []byte) (msgp.Marshaler, error) {
		var order peer.Order
		if _, err := order.UnmarshalMsg(in); err != nil {
			return nil, err
		}
		if order.Kind == "slow" {
			<-release
		}
		return &peer.OrderReply{Text: order.Kind}, nil
	}})
	var done sync.WaitGroup
	done.Go(func() { _ = server.Serve(l) })
	client := peer.NewClient("127.0.0.1")
	t.Cleanup(func() {
		client.CloseIdle()
		must.NoError(t, server.Shutdown())
		done.Wait()
	})
	var reply peer.OrderReply
	must.NoError(t, client.Call(l.Addr().String(), "/order", &peer.Order{Kind: "first"}, &reply, 5*time.Second))
	must.Error(t, client.Call(l.Addr().String(), "/order", &peer.Order{Kind: "slow"}, &reply, 50*time.Millisecond))
	close(release)
	for range 20 {
		reply = peer.OrderReply{}
		must.NoError(t, client.Call(l.Addr().String(), "/order", &peer.Order{Kind: "next"}, &reply, 5*time.Second))
		must.Eq(t, "next", reply.Text)
	}
}
