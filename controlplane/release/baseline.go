package release

// Which versions of a service's servers are in service without an order.

import (
	"maps"
	"slices"
	"time"
)

const (
	// censusTime is for how long after a service's first server was heard the versions of others that are heard are in service as well: they
	// start beside one another with the system.
	censusTime = 2 * time.Second
	// replacedAfter is for how long no server of a version in service is there, while others are, until the versions of those take its place.
	replacedAfter = 5 * time.Second
	// mostBaselines bounds the services whose versions are remembered while they have no server.
	mostBaselines = 256
)

// BaselineOf finds the versions in service of a service that no release was ordered for; empty: they are not known.
func BaselineOf(baselines []Baseline, service string) []string {
	i := slices.IndexFunc(baselines, func(b Baseline) bool { return b.Service == service })
	if i < 0 {
		return nil
	}
	return baselines[i].Versions
}

// Server is what a census is told of a server that has not ended.
type Server struct {
	Service string
	Version string
	Silent  bool // nothing was heard of it for some time
}

// sighting is when servers of a version were there.
type sighting struct {
	first time.Time // that one was heard; zero: none was
	last  time.Time // that one was known of
}

// Census is what a process has heard of the versions of servers. Its zero value has heard nothing.
type Census struct {
	began    time.Time
	now      time.Time
	services map[string]map[string]sighting // by service and version
}

// Take notes the servers that there are now.
func (c *Census) Take(now time.Time, servers []Server) {
	if c.services == nil {
		c.began, c.services = now, map[string]map[string]sighting{}
	}
	c.now = now
	for _, server := range servers {
		versions := c.services[server.Service]
		if versions == nil {
			versions = map[string]sighting{}
			c.services[server.Service] = versions
		}
		seen := versions[server.Version]
		if seen.last = now; seen.first.IsZero() && !server.Silent {
			seen.first = now
		}
		versions[server.Version] = seen
	}
	for service, versions := range c.services {
		maps.DeleteFunc(versions, func(_ string, seen sighting) bool { return now.Sub(seen.last) > replacedAfter })
		if len(versions) == 0 {
			delete(c.services, service)
		}
	}
}

// Initial gives the versions whose servers were heard about when the first one of the service was, in order. settled tells whether all
// that belong to them were heard.
func (c *Census) Initial(service string) (versions []string, settled bool) {
	var first time.Time
	for _, seen := range c.services[service] {
		if !seen.first.IsZero() && (first.IsZero() || seen.first.Before(first)) {
			first = seen.first
		}
	}
	if first.IsZero() {
		return nil, false
	}
	for version, seen := range c.services[service] {
		if !seen.first.IsZero() && seen.first.Sub(first) < censusTime {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions, c.now.Sub(first) >= censusTime
}

// successors gives the versions of the servers that are there, but for those left out, where no server of a version in service has been
// there for replacedAfter; empty: those go on to be in service.
func (c *Census) successors(service string, inService []string, leftOut func(version string) bool) []string {
	if c.now.Sub(c.began) < replacedAfter {
		return nil
	}
	var present []string
	for version, seen := range c.services[service] { // what was not there for replacedAfter is forgotten
		if slices.Contains(inService, version) {
			return nil
		}
		if seen.last.Equal(c.now) && !leftOut(version) {
			present = append(present, version)
		}
	}
	slices.Sort(present)
	return present
}

// Baselines gives what the register is to hold, where it holds known: the versions in service of each service for which no release was
// ordered, in the order of their names.
func (c *Census) Baselines(known []Baseline, releases []Release) []Baseline {
	var next []Baseline
	for _, service := range c.servicesBeside(known) {
		if Of(releases, service) != nil {
			continue
		}
		versions := c.inService(service, BaselineOf(known, service))
		if len(versions) > 0 {
			next = append(next, Baseline{service, versions})
		}
	}
	return next
}

// servicesBeside lists the services with a baseline or with servers, in order; where they are too many, those with servers.
func (c *Census) servicesBeside(known []Baseline) []string {
	services := slices.Collect(maps.Keys(c.services))
	for _, b := range known {
		if c.services[b.Service] == nil && len(services) < mostBaselines {
			services = append(services, b.Service)
		}
	}
	slices.Sort(services)
	return services
}

// inService gives the versions in service, where those were that are known; empty: they are not known yet.
func (c *Census) inService(service string, known []string) []string {
	if len(known) == 0 {
		if initial, settled := c.Initial(service); settled {
			return initial
		}
		return nil
	}
	if successors := c.successors(service, known, func(string) bool { return false }); len(successors) > 0 {
		return successors
	}
	return known
}

// Replace gives the releases where those that were rolled back are followed by the versions that are there, once the servers that were in
// service before have all ended; the same slice where there are none.
func (c *Census) Replace(releases []Release) []Release {
	next := releases
	for i := range releases {
		r := &releases[i]
		if r.Phase != RolledBack || len(r.Before) == 0 {
			continue
		}
		leftOut := func(version string) bool { return version == r.Target || slices.Contains(r.Barred, version) }
		successors := c.successors(r.Service, r.Before, leftOut)
		if len(successors) == 0 {
			continue
		}
		if &next[0] == &releases[0] {
			next = slices.Clone(releases)
		}
		next[i].Before = successors
	}
	return next
}
