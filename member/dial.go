package member

// dial.go owns from where connections to other members leave: the address of members.listen, not whichever the machine would take.
// So a filter between machines, or a relay of the laboratory, can tell by a connection's address whose it is. It must never listen.

import (
	"fmt"
	"log"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport is memberlist's own, but for where connections leave.
type transport struct {
	*memberlist.NetTransport
	from net.IP // nil: the machine's choice
}

// listen opens the sockets that the configuration names.
func listen(c *memberlist.Config) (memberlist.Transport, error) {
	t := &transport{}
	if ip := net.ParseIP(c.BindAddr); ip != nil && !ip.IsUnspecified() {
		t.from = ip
	}
	var err error
	t.NetTransport, err = memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{c.BindAddr}, BindPort: c.BindPort,
		Logger: log.New(c.LogOutput, "", 0)})
	if err != nil {
		return nil, fmt.Errorf("members.listen: %w", err)
	}
	if c.BindPort == 0 {
		c.BindPort = t.GetAutoBindPort()
		c.AdvertisePort = c.BindPort
	}
	return t, nil
}

// DialTimeout is part of memberlist.Transport.
func (t *transport) DialTimeout(addr string, limit time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: limit}
	if t.from != nil {
		d.LocalAddr = &net.TCPAddr{IP: t.from}
	}
	return d.Dial("tcp", addr)
}

// DialAddressTimeout is part of memberlist.NodeAwareTransport.
func (t *transport) DialAddressTimeout(a memberlist.Address, limit time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, limit)
}
