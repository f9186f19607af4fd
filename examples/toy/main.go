// Toy plays what stands round a router in a configuration: discovery, and every leaf that the configuration
// knows. Leaves answer each part after a while with a value made of the query's text and the shard. It is for
// a first try and for nothing else: it keeps no state, and one of its leaves can be told to be slow or to fail.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"moleshift/codec"
	"moleshift/config"
)

func main() {
	work := flag.Duration("work", 20*time.Millisecond, "mean time a part takes")
	bad := flag.String("bad", "", "instanceId of a leaf that misbehaves")
	how := flag.String("how", "slow", "how it does: slow, fail or silent")
	flag.Parse()
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		log.Fatal(err)
	}
	for _, s := range cfg.Known.Servers {
		l, err := net.Listen("tcp", s.Address)
		if err != nil {
			log.Fatal(err)
		}
		leaf := &leaf{id: s.ID, work: *work}
		if s.ID == *bad {
			leaf.manner = *how
		}
		go leaf.serve(l)
	}
	log.Printf("%d leaves are up; discovery is at %s", len(cfg.Known.Servers), cfg.Discovery)
	log.Fatal(http.ListenAndServe(cfg.Discovery, discovery(cfg.Known)))
}

// discovery answers with the list; a watch on it stays open and has nothing new to tell.
func discovery(known config.List) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		list := known
		if r.URL.Query().Get("since") == fmt.Sprint(list.Generation) {
			list.Whole, list.Servers = false, []config.Server{}
		}
		json.NewEncoder(w).Encode(list)
		for r.URL.Query().Get("follow") != "" {
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(2 * time.Second):
				fmt.Fprintln(w)
			}
		}
	})
}

type leaf struct {
	id     string
	work   time.Duration
	manner string
}

func (l *leaf) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			log.Fatal(err)
		}
		go l.talk(conn)
	}
}

const mostCall = 2 << 20

// talk reads frames from one router and answers each part on its own.
func (l *leaf) talk(conn net.Conn) {
	defer conn.Close()
	var mu sync.Mutex
	write := func(letter byte, rest string) {
		mu.Lock()
		defer mu.Unlock()
		codec.WriteFrame(conn, letter, rest)
	}
	ring, frames := codec.NewRing(16<<10), codec.FrameReader{Most: mostCall}
	for {
		if _, err := ring.Fill(conn); err != nil {
			return
		}
		for {
			f, whole, err := frames.Next(ring)
			if err != nil {
				write(codec.LetterBroken, err.Error())
				return
			}
			if !whole {
				break
			}
			switch f.Letter {
			case codec.LetterCall:
				if !l.call(f.Rest, write) {
					write(codec.LetterBroken, "a part's line is malformed")
					return
				}
			case codec.LetterGiveUp: // what has begun goes on
			case codec.LetterProbe, codec.LetterLoad:
				write(f.Letter, "200")
			}
		}
	}
}

func (l *leaf) call(rest []byte, write func(byte, string)) bool {
	in := bufio.NewReader(bytes.NewReader(rest))
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return line == ""
		}
		var id, list string
		var shard, length int
		if _, err := fmt.Sscan(line, &id, &shard, &list, &length); err != nil || length < 0 || length > codec.MostBody {
			return false
		}
		text := make([]byte, length)
		if _, err := io.ReadFull(in, text); err != nil {
			return false
		}
		go l.part(id, shard, text, write)
	}
}

func (l *leaf) part(id string, shard int, text []byte, write func(byte, string)) {
	took := time.Duration(rand.ExpFloat64() * float64(l.work))
	if l.manner == "slow" {
		took *= 20
	}
	time.Sleep(took)
	switch l.manner {
	case "silent":
		return
	case "fail":
		write(codec.LetterAnswer, id+" 500 0 -\n")
		return
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d", text, shard)
	write(codec.LetterAnswer, fmt.Sprintf("%s 200 %d latency_ms=%.1f\n%016x", id, h.Sum64()%1000,
		float64(took.Microseconds())/1000, h.Sum64()))
}
