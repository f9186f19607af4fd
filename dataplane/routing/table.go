// Package routing finds the route, the service and the tenant of a request in a configuration.
//
// A Table is made once for each version and never changes. It is pure: it decides what a configuration says, not where to send.
package routing

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"moleshift/controlplane/configuration"
	"moleshift/fault"
)

// Table is a configuration made ready for look-ups.
type Table struct {
	Version     int64
	SharedSince int64 // version since which tenants that are not isolated share kept prompts with one another; 0: the first
	Limits      configuration.Limits
	Services    map[string]*configuration.Service
	Stores      []*configuration.Service // stores of kept KV cache

	hosts   map[string][]*configuration.Route // longest prefix first
	tenants map[string]*configuration.Tenant  // by key
	named   map[string]*configuration.Tenant  // by name
	keyed   bool
}

// Compile makes the table of a configuration.
func Compile(d *configuration.Document) *Table {
	t := &Table{
		Version: d.Version, Limits: d.Limits, Services: map[string]*configuration.Service{},
		hosts: map[string][]*configuration.Route{}, tenants: map[string]*configuration.Tenant{}, named: map[string]*configuration.Tenant{},
		keyed: len(d.Tenants) > 0,
	}
	for i := range d.Services {
		s := &d.Services[i]
		t.Services[s.Name] = s
		if s.StoreAddress != "" {
			t.Stores = append(t.Stores, s)
		}
	}
	for i := range d.Routes {
		host := strings.ToLower(d.Routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &d.Routes[i])
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *configuration.Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range d.Tenants {
		t.named[d.Tenants[i].Name] = &d.Tenants[i]
		for _, key := range d.Tenants[i].APIKeys {
			t.tenants[key] = &d.Tenants[i]
		}
	}
	return t
}

// Route finds the route of a host and a path: the longest prefix wins. nil: there is none.
func (t *Table) Route(host, path string) *configuration.Route {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && t.hosts[host] == nil {
		host = host[:i]
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// authScheme precedes the key in the Authorization header.
const authScheme = "token "

// Tenant finds the tenant of an Authorization header; nil with no error where the route needs none.
func (t *Table) Tenant(r *configuration.Route, authorization string) (*configuration.Tenant, error) {
	if !t.Keyed(r) {
		return nil, nil
	}
	key, ok := keyOf(authorization)
	if !ok {
		return nil, fault.New(fault.BadKey, "Authorization must be \"Token KEY\"")
	}
	tenant := t.tenants[key]
	if tenant == nil {
		return nil, fault.New(fault.BadKey, "no tenant holds it")
	}
	return tenant, nil
}

// Holds tells whether the tenant of a name holds the key of an Authorization header.
func (t *Table) Holds(name, authorization string) bool {
	key, ok := keyOf(authorization)
	if !ok {
		return false
	}
	tenant := t.tenants[key]
	return tenant != nil && tenant.Name == name
}

// keyOf reads the key in an Authorization header.
func keyOf(authorization string) (key string, ok bool) {
	if len(authorization) < len(authScheme) || !strings.EqualFold(authorization[:len(authScheme)], authScheme) {
		return "", false
	}
	return strings.TrimSpace(authorization[len(authScheme):]), true
}

// Isolated tells whether a tenant shares no kept prompts with others; one that is not in the configuration any more is told as it was.
func (t *Table) Isolated(tenant *configuration.Tenant) bool {
	if now := t.named[tenant.Name]; now != nil {
		return now.Isolated
	}
	return tenant.Isolated
}

// Keyed tells whether a request on the route needs a key.
func (t *Table) Keyed(r *configuration.Route) bool { return t.keyed && !r.Public }

// Service finds the service of a request: where the route splits its traffic, the request's id decides.
func (t *Table) Service(r *configuration.Route, requestID string) *configuration.Service {
	if len(r.TrafficSplit) == 0 {
		return t.Services[r.Service]
	}
	sum := 0.0
	for _, s := range r.TrafficSplit {
		sum += s.Weight
	}
	h := fnv.New32a()
	h.Write([]byte(requestID))
	at := float64(h.Sum32()) / (1 << 32) * sum
	for _, s := range r.TrafficSplit {
		if at < s.Weight {
			return t.Services[s.Service]
		}
		at -= s.Weight
	}
	return t.Services[r.TrafficSplit[0].Service]
}

const (
	defaultBody   = 4 << 20
	defaultHeader = 16 << 10
	defaultIdle   = 15 * time.Second
	defaultHead   = 3 * time.Second
)

// MaxBody bounds the body of a request, in bytes. All limits have defaults where there is no table yet.
func (t *Table) MaxBody() int {
	if t == nil || t.Limits.MaxBodyBytes <= 0 {
		return defaultBody
	}
	return t.Limits.MaxBodyBytes
}

// MaxHeader bounds the head of a request, in bytes.
func (t *Table) MaxHeader() int {
	if t == nil || t.Limits.MaxHeaderBytes <= 0 {
		return defaultHeader
	}
	return t.Limits.MaxHeaderBytes
}

// Idle is how long a client's connection may rest.
func (t *Table) Idle() time.Duration {
	if t == nil || t.Limits.IdleTimeoutMs <= 0 {
		return defaultIdle
	}
	return time.Duration(t.Limits.IdleTimeoutMs * float64(time.Millisecond))
}

// HeadTime bounds how long a request's head may take.
func (t *Table) HeadTime() time.Duration {
	if t == nil || t.Limits.HeaderTimeoutMs <= 0 {
		return defaultHead
	}
	return time.Duration(t.Limits.HeaderTimeoutMs * float64(time.Millisecond))
}
