package servercall_test

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
	"go.uber.org/goleak"

	"moleshift/internal/servercall"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, // the library's cleaners end by themselves, later
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"))
}

// serve starts a server that plays a script on each connection, and gives its address.
func serve(t *testing.T, play func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	var done sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	done.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			done.Go(func() {
				defer c.Close()
				play(c)
			})
		}
	})
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range open {
			c.Close()
		}
		done.Wait()
	})
	return l.Addr().String()
}

// answerTwice answers each call with its path, and sends that answer once more in the place where the next is due.
func answerTwice(c net.Conn) {
	reader, surplus := bufio.NewReader(c), ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
		fmt.Fprint(c, surplus, answer)
		surplus = answer
	}
}

// Guards against the answer to an earlier call being taken for that to an order, or for a list of what a server keeps.
func TestCallAloneGetsItsOwnAnswer(t *testing.T) {
	address := serve(t, answerTwice)
	client := newClient()
	call := func(path string, alone bool) string {
		status, body, err := client.Do(&servercall.Call{Address: address, Path: path, Alone: alone, Timeout: 5 * time.Second})
		must.NoError(t, err)
		must.Eq(t, 200, status)
		return string(body)
	}
	must.Eq(t, "/first", call("/first", false))
	must.Eq(t, "/first", call("/second", false), must.Sprint("this is what the server does"))
	for _, path := range []string{"/third", "/fourth"} {
		must.Eq(t, path, call(path, true))
	}
}

func newClient() *servercall.Client {
	return servercall.New(servercall.Settings{IP: "127.0.0.1", DialTimeout: 5 * time.Second, PerServer: 2, Idle: time.Second})
}

// answerWith is a script that answers each call on a connection with the next of the given texts.
func answerWith(texts ...string) func(c net.Conn) {
	return func(c net.Conn) {
		reader := bufio.NewReader(c)
		for _, text := range texts {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			fmt.Fprint(c, text)
		}
	}
}

// Guards against an order that a broken answer acknowledges, and against lists and reports out of one: the error says that there is none.
func TestBrokenHeadIsNoAnswerToACall(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":                      "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
		"status 600":                      "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok",
		"blank in a name":                 "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\nok",
		"blank in the name of the coding": "HTTP/1.1 200 OK\r\nTransfer -Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"blank behind the length's name":  "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
		"folded line":                     "HTTP/1.1 200 OK\r\nX: 1\r\n Y: 2\r\nContent-Length: 2\r\n\r\nok",
		"chunks in HTTP/1.0":              "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"broken head in front":            "HTTP/1.1 000 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			address, client := serve(t, answerWith(text)), newClient()
			for _, alone := range []bool{false, true} {
				_, _, err := client.Do(&servercall.Call{Method: "POST", Address: address, Path: "/order", JSON: []byte("{}"), Alone: alone, Timeout: 5 * time.Second})
				must.Error(t, err, must.Sprintf("alone: %t", alone))
			}
		})
	}
}

// What the protocol allows is an answer to a call as before, on a connection that goes on being used.
func TestOddAnswersToCalls(t *testing.T) {
	address := serve(t, answerWith(
		"HTTP/1.1 200\r\ncontent-length: 2\r\n\r\n01",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nTRANSFER-ENCODING: chunked\r\n\r\n1\r\n0\r\n1;x=y\r\n2\r\n0\r\nX-After: 1\r\n\r\n",
		"HTTP/1.1 200 \r\nX: a\tb\xff\r\n\r\n03",
	))
	client := newClient()
	for _, want := range []string{"01", "02", "03"} {
		status, body, err := client.Do(&servercall.Call{Address: address, Path: "/report", Timeout: 5 * time.Second})
		must.NoError(t, err)
		must.Eq(t, 200, status)
		must.Eq(t, want, string(body))
	}
}
