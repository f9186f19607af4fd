package servercall_test

import (
	"bufio"
	"fmt"
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

// twice is a server that answers each call with its path, and sends that answer once more in the place where the next is due.
func twice(t *testing.T) string {
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
			done.Go(func() { answerTwice(c) })
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

func answerTwice(c net.Conn) {
	defer c.Close()
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
	address := twice(t)
	client := servercall.New(servercall.Settings{IP: "127.0.0.1", DialTimeout: time.Second, PerServer: 2, Idle: time.Second})
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
