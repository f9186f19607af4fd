// Package processes brings up real routers on loopback, each with an address of its own, with a relay between every ordered pair of
// them, and has faults befall processes, disks, clocks and connections. What happened is recorded from outside, at receivers of the
// laboratory, on one clock, and judged after the run.
//
// relay.go owns what passes between routers. It must never change a byte, and never pass anything beyond loopback.
package processes

import (
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Link is what an ordered pair of routers has between them.
type Link struct {
	Cut     bool          `yaml:"cut"`     // nothing passes; connections stay half-open
	Delay   time.Duration `yaml:"delay"`   // of each packet or piece
	Jitter  time.Duration `yaml:"jitter"`  // up to so much more, so that packets overtake one another
	Loss    float64       `yaml:"loss"`    // share of packets
	Twice   float64       `yaml:"twice"`   // share of packets that come twice
	Drained int           `yaml:"drained"` // bytes a second of a connection; 0: all at once
}

// relays is what stands between all routers. Those who send are known by their source address.
type relays struct {
	mu     sync.Mutex
	links  map[[2]int]Link // from, to
	all    Link            // for pairs without one of their own
	rng    *rand.Rand
	seats  map[netip.Addr]int     // by the address that a router sends from
	ports  map[netip.AddrPort]int // the same where loopback has one address only; connections have no known sender then
	done   chan struct{}
	work   sync.WaitGroup
	opened []io.Closer

	passed, lost int
}

func newRelays(seed uint64) *relays {
	return &relays{links: map[[2]int]Link{}, rng: rand.New(rand.NewPCG(seed, 3)), seats: map[netip.Addr]int{}, ports: map[netip.AddrPort]int{},
		done: make(chan struct{})}
}

// set gives some pairs a link, or (nil) that of all again.
func (r *relays) set(pairs [][2]int, l *Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range pairs {
		if l == nil {
			delete(r.links, p)
		} else {
			r.links[p] = *l
		}
	}
}

func (r *relays) link(from, to int) Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l, has := r.links[[2]int{from, to}]; has {
		return l
	}
	return r.all
}

// draw tells how often a packet is to come, and when.
func (r *relays) draw(from, to int) (waits []time.Duration) {
	l := r.link(from, to)
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.Cut || r.rng.Float64() < l.Loss {
		r.lost++
		return nil
	}
	r.passed++
	times := 1
	if r.rng.Float64() < l.Twice {
		times = 2
	}
	for range times {
		wait := l.Delay
		if l.Jitter > 0 {
			wait += time.Duration(r.rng.Int64N(int64(l.Jitter)))
		}
		waits = append(waits, wait)
	}
	return waits
}

func (r *relays) seat(a net.Addr) (int, bool) {
	ap, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return 0, false
	}
	if seat, known := r.ports[ap]; known {
		return seat, true
	}
	seat, known := r.seats[ap.Addr()]
	return seat, known
}

// nobody is the sender of a connection where senders can't be told apart: it has the link of all.
const nobody = -1

// open relays what comes to one address on to a router at another.
func (r *relays) open(seat int, at, to string) error {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	pc, err := net.ListenPacket("udp", at)
	if err != nil {
		l.Close()
		return err
	}
	r.opened = append(r.opened, l, pc)
	target, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return err
	}
	r.work.Go(func() { r.packets(seat, pc, target) })
	r.work.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.work.Go(func() { r.connection(seat, c, to) })
		}
	})
	return nil
}

func (r *relays) packets(to int, pc net.PacketConn, target *net.UDPAddr) {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := pc.ReadFrom(buf)
		if err != nil {
			select {
			case <-r.done:
				return
			default: // such as a port that was closed
				continue
			}
		}
		seat, known := r.seat(from)
		if !known {
			continue
		}
		for _, wait := range r.draw(seat, to) {
			b := append([]byte(nil), buf[:n]...)
			if wait <= 0 {
				pc.WriteTo(b, target) // an error is a loss
				continue
			}
			time.AfterFunc(wait, func() { pc.WriteTo(b, target) })
		}
	}
}

// connection passes both directions of a connection, each as its own pair's link says.
func (r *relays) connection(to int, c net.Conn, target string) {
	defer c.Close()
	from, known := r.seat(c.RemoteAddr())
	if !known && len(r.ports) > 0 {
		from, known = nobody, true
	}
	if !known || !r.wait(from, to) {
		return
	}
	there, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		return
	}
	defer there.Close()
	var both sync.WaitGroup
	both.Go(func() { r.pass(from, to, there, c) })
	both.Go(func() { r.pass(to, from, c, there) })
	stop := make(chan struct{})
	go func() {
		select {
		case <-r.done:
			c.Close()
			there.Close()
		case <-stop:
		}
	}()
	both.Wait()
	close(stop)
}

// wait holds back while a link is cut: to both ends the connection looks open.
func (r *relays) wait(from, to int) bool {
	for r.link(from, to).Cut {
		select {
		case <-r.done:
			return false
		case <-time.After(20 * time.Millisecond):
		}
	}
	return true
}

func (r *relays) pass(from, to int, w, in net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		l := r.link(from, to)
		most := len(buf)
		if l.Drained > 0 {
			most = max(min(l.Drained/50, most), 1)
		}
		n, err := in.Read(buf[:most])
		if n > 0 {
			if l.Delay > 0 {
				time.Sleep(l.Delay)
			}
			if l.Drained > 0 {
				time.Sleep(time.Duration(n) * time.Second / time.Duration(l.Drained))
			}
			if !r.wait(from, to) {
				return
			}
			if _, err := w.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if tcp, is := w.(*net.TCPConn); is {
				tcp.CloseWrite()
			}
			return
		}
	}
}

func (r *relays) close() {
	close(r.done)
	for _, c := range r.opened {
		c.Close()
	}
	r.work.Wait()
}
