// Package configuration is the operator's configuration: its form, its checks, changes to it, and which orders were taken.
//
// It owns what makes a configuration valid and what an order does to the one before. It is pure: it must never know who keeps the
// configuration or how it is agreed upon.
package configuration

import (
	"encoding/json"
	"strings"

	"github.com/samber/lo"

	"moleshift/fault"
)

// Document is a configuration as the operator wrote it, with what the system needs of it read.
type Document struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	Tenants  []Tenant  `json:"tenants"`
}

// Route tells which service takes the requests of a host and path prefix, and how.
type Route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"path-prefix"`
	Type            string  `json:"route-type"`
	TimeoutMs       float64 `json:"timeout-ms"`
	TargetLatencyMs float64 `json:"target-latency-ms"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	TrafficSplit    []Split `json:"traffic-split"`
	MaxAttempts     int     `json:"max-attempts"`
	Public          bool    `json:"public"`
	Sticky          bool    `json:"sticky"`
	Resumable       bool    `json:"resumable"`
	GapAimMs        float64 `json:"gap_aim_ms"`
}

// The types of routes.
const (
	TypeIdempotent    = "idempotent"
	TypeNonIdempotent = "non_idempotent"
	TypeStreaming     = "streaming"
)

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Type == TypeIdempotent || (r.Type == TypeStreaming && r.Resumable)
}

// Split is a service's share of a route's requests.
type Split struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a set of servers, or a store of kept KV cache where StoreAddress is set.
type Service struct {
	Name             string  `json:"name"`
	HealthPath       string  `json:"health-path"`
	MaxConnections   int     `json:"max-connections"`
	Engine           *Engine `json:"engine"`
	StoreAddress     string  `json:"kv-store-addr"`
	Zone             string  `json:"zone"`
	KvCapacityTokens float64 `json:"kv-capacity-tokens"`
	LinkMbps         float64 `json:"link-mbps"`
	MaxInFlight      int     `json:"max-in-flight"`
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots            int     `json:"slots"`
	KvCapacityTokens float64 `json:"kv-capacity-tokens"`
	KvTokenBytes     float64 `json:"kv-token-bytes"`
	LinkMbps         float64 `json:"link-mbps"`
	Stride           int     `json:"stride"`
	MaxInFlight      int     `json:"max-in-flight"`
	Models           []Model `json:"models"`
}

// Model names a model that an engine runs.
type Model struct {
	Name string `json:"name"`
}

// Limits bound what a client may send, how long it may take and how long its connection may rest.
type Limits struct {
	MaxHeaderBytes  int     `json:"max-header-bytes"`
	MaxBodyBytes    int     `json:"max-body-bytes"`
	HeaderTimeoutMs float64 `json:"header-timeout-ms"`
	IdleTimeoutMs   float64 `json:"idle-timeout-ms"`
}

// Tenant is who a key belongs to.
type Tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api-keys"`
	Priority int      `json:"priority"`
	Isolated bool     `json:"isolated"`
}

// HasService tells whether the configuration names a service whose servers take requests.
func (d *Document) HasService(name string) bool {
	return lo.ContainsBy(d.Services, func(s Service) bool { return s.Name == name && s.StoreAddress == "" })
}

// Parse reads a whole configuration and checks it. Errors are of kind fault.BadConfig and name the item.
func Parse(body []byte) (*Document, error) {
	var d Document
	if err := Decode(body, &d); err != nil {
		return nil, err
	}
	if err := d.check(); err != nil {
		return nil, err
	}
	return &d, nil
}

// Decode reads a body that is one JSON value and nothing more.
func Decode(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return fault.New(fault.BadConfig, "not readable as JSON: %v", err)
	}
	return nil
}

func (d *Document) check() error {
	if d.Version <= 0 {
		return fault.New(fault.BadConfig, "version is %d: it must be above 0", d.Version)
	}
	services := map[string]*Service{}
	for i := range d.Services {
		s := &d.Services[i]
		if s.Name == "" {
			return fault.New(fault.BadConfig, "services[%d] has no name", i)
		}
		services[s.Name] = s
	}
	places := map[string]string{}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.check(services); err != nil {
			return err
		}
		place := strings.ToLower(r.Host) + r.PathPrefix
		if other, taken := places[place]; taken {
			return fault.New(fault.BadConfig, "routes %q and %q share host and path-prefix %s", other, r.Name, place)
		}
		places[place] = r.Name
	}
	return d.checkTenants()
}

func (r *Route) check(services map[string]*Service) error {
	if r.Name == "" || r.Host == "" {
		return fault.New(fault.BadConfig, "route %q: name and host must not be empty", r.Name)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return fault.New(fault.BadConfig, "route %q: path-prefix %q must begin and end with a slash", r.Name, r.PathPrefix)
	}
	if r.TimeoutMs <= 0 {
		return fault.New(fault.BadConfig, "route %q: timeout-ms is %v: it must be above 0", r.Name, r.TimeoutMs)
	}
	if !lo.Contains([]string{TypeIdempotent, TypeNonIdempotent, TypeStreaming}, r.Type) {
		return fault.New(fault.BadConfig, "route %q: route-type %q is none of idempotent, non_idempotent, streaming", r.Name, r.Type)
	}
	if len(r.TrafficSplit) == 0 {
		return r.checkService(services, r.Service)
	}
	sum := 0.0
	for _, split := range r.TrafficSplit {
		if err := r.checkService(services, split.Service); err != nil {
			return err
		}
		if split.Weight < 0 {
			return fault.New(fault.BadConfig, "route %q: weight of %q is below 0", r.Name, split.Service)
		}
		sum += split.Weight
	}
	if sum <= 0 {
		return fault.New(fault.BadConfig, "route %q: the weights add up to 0", r.Name)
	}
	return nil
}

func (r *Route) checkService(services map[string]*Service, name string) error {
	s := services[name]
	if s == nil {
		return fault.New(fault.BadConfig, "route %q names the service %q, which is not among services", r.Name, name)
	}
	if s.StoreAddress != "" {
		return fault.New(fault.BadConfig, "route %q names %q, which is a store and takes no requests", r.Name, name)
	}
	return nil
}

func (d *Document) checkTenants() error {
	holders := map[string]string{}
	for _, t := range d.Tenants {
		if t.Name == "" {
			return fault.New(fault.BadConfig, "a tenant has no name")
		}
		for _, key := range t.APIKeys {
			if other, taken := holders[key]; taken && other != t.Name {
				return fault.New(fault.BadConfig, "tenants %q and %q share a key", other, t.Name)
			}
			holders[key] = t.Name
		}
	}
	return nil
}
