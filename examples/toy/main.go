// Toy plays what stands round a router in a configuration: discovery, and every leaf that the configuration knows, each a stand-in
// of the laboratory (lab/standin). It is for a first try and for nothing else; one of its leaves can be told to misbehave.
package main

import (
	"flag"
	"log"
	"net"
	"net/http"
	"os"
	"time"

	"moleshift/config"
	"moleshift/lab/standin"
)

const (
	cores = 8
	queue = 64
	slow  = 20 // times as long
)

func main() {
	work := flag.Duration("work", 20*time.Millisecond, "mean time a part takes")
	bad := flag.String("bad", "", "instanceId of a leaf that misbehaves")
	how := flag.String("how", "slow", "how it does: slow, fail or silent")
	flag.Parse()
	manner, known := map[string]standin.Manner{"slow": standin.Well, "fail": standin.Fails, "silent": standin.Silent}[*how]
	if !known {
		log.Fatalf("-how: %q is none of slow, fail, silent", *how)
	}
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		log.Fatal(err)
	}
	for _, s := range cfg.Known.Servers {
		l, err := net.Listen("tcp", s.Address)
		if err != nil {
			log.Fatal(err)
		}
		leaf := &standin.Leaf{Cores: cores, Speed: 1, Queue: queue, Work: *work, Spread: true}
		if s.ID == *bad {
			if leaf.Behave(manner); *how == "slow" {
				leaf.Speed /= slow
			}
		}
		go leaf.Serve(l)
	}
	log.Printf("%d leaves are up; discovery is at %s", len(cfg.Known.Servers), cfg.Discovery)
	log.Fatal(http.ListenAndServe(cfg.Discovery, standin.NewDiscovery(cfg.Known)))
}
