package soak

// Overload: at drawn times many more clients are at work for a while, and come back sooner than they are told. Servers are full then, and
// answers that say so are most of all, while everything else goes on.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	rushClients   = 2 // for each ordinary one
	rushEvery     = 6 * time.Second
	rushAtLeast   = time.Second
	rushAtMost    = 4 * time.Second
	rushHurry     = 120 * time.Millisecond
	rushSource    = 6
	rushersSource = 1_000_000 // number of the first one's source of random numbers
)

// rushKinds are what hurried clients send: requests for whole answers.
var rushKinds = []Kind{Once, Once, Again, Keyed}

// rushes has one rush after the other come until the context ends.
func (s *soak) rushes(ctx context.Context) {
	random := s.fork(rushSource)
	for n := 0; pause(ctx, time.Duration(random.Int64N(int64(rushEvery)))); n++ {
		lasts := rushAtLeast + time.Duration(random.Int64N(int64(rushAtMost-rushAtLeast)))
		s.rush(ctx, n, lasts, random)
	}
}

// rush plays one rush and returns when its clients have ended.
func (s *soak) rush(ctx context.Context, number int, lasts time.Duration, random *rand.Rand) {
	within, cancel := context.WithTimeout(ctx, lasts)
	defer cancel()
	var clients sync.WaitGroup
	count := rushClients * s.options.Clients
	s.tell("%d more clients for %v", count, lasts.Round(time.Millisecond))
	for i := range count {
		c := s.newClient(fmt.Sprintf("h%d.%d", number, i), rushersSource+random.Uint64N(rushersSource))
		c.kinds, c.hurry = rushKinds, rushHurry
		clients.Go(func() { c.run(within) })
	}
	clients.Wait()
}
