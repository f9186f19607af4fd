package peer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
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

// Guards against bytes that are no answer being taken for a member's word.
func TestBrokenHeadIsNoReply(t *testing.T) {
	body, err := (&peer.OrderReply{Text: "taken"}).MarshalMsg(nil)
	must.NoError(t, err)
	for name, row := range map[string]struct {
		head  string
		sound bool
	}{
		"sound":                          {"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", true},
		"sound and odd":                  {"HTTP/1.1 200\r\nx: \xff\ncontent-length:%d\r\n\r\n", true},
		"blank in a name":                {"HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: %d\r\n\r\n", false},
		"blank behind the length's name": {"HTTP/1.1 200 OK\r\nContent-Length : %d\r\n\r\n", false},
		"folded line":                    {"HTTP/1.1 200 OK\r\nX: 1\r\n Y: 2\r\nContent-Length: %d\r\n\r\n", false},
		"control byte in the reason":     {"HTTP/1.1 200 O\x01K\r\nContent-Length: %d\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			must.NoError(t, err)
			var done sync.WaitGroup
			done.Go(func() { answerAll(l, fmt.Sprintf(row.head, len(body))+string(body)) })
			client := peer.NewClient("127.0.0.1")
			t.Cleanup(func() {
				client.CloseIdle()
				l.Close()
				done.Wait()
			})
			var reply peer.OrderReply
			err = client.Call(l.Addr().String(), "/order", &peer.Order{}, &reply, 5*time.Second)
			must.Eq(t, row.sound, err == nil, must.Sprint(err))
		})
	}
}

// answerAll answers the call on each connection with a text, until the listener is closed.
func answerAll(l net.Listener, text string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, text)
		}
		c.Close()
	}
}
