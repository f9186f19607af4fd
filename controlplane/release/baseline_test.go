package release

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// serversOf gives a server of each version of a service.
func serversOf(versions ...string) []Server {
	var list []Server
	for _, version := range versions {
		list = append(list, Server{Service: "llm", Version: version})
	}
	return list
}

// The versions of the servers that start with the system are in service, one that comes later is not, and stays out however long it is there,
// until nothing is left of those in service.
func TestVersionsInServiceWithoutAnOrder(t *testing.T) {
	start := time.Now()
	var c Census
	var known []Baseline
	at := func(after time.Duration, servers []Server) []string {
		c.Take(start.Add(after), servers)
		known = c.Baselines(known, nil)
		return BaselineOf(known, "llm")
	}
	must.SliceEmpty(t, at(0, serversOf("v1")))
	must.SliceEmpty(t, at(censusTime/2, serversOf("v1", "v0")))
	must.Eq(t, []string{"v0", "v1"}, at(censusTime, serversOf("v1", "v0", "v2")), must.Sprint("v2 came later"))
	must.Eq(t, []string{"v0", "v1"}, at(time.Hour, serversOf("v1", "v2")))
	silent := append(serversOf("v2"), Server{Service: "llm", Version: "v1", Silent: true})
	must.Eq(t, []string{"v0", "v1"}, at(2*time.Hour, silent), must.Sprint("a silent server may take requests"))
	must.Eq(t, []string{"v0", "v1"}, at(2*time.Hour+replacedAfter, serversOf("v2")))
	must.Eq(t, []string{"v0", "v1"}, at(2*time.Hour+2*replacedAfter, nil), must.Sprint("nobody is there to take its place"))
	must.Eq(t, []string{"v2"}, at(3*time.Hour, serversOf("v2")), must.Sprint("all others have ended"))
	must.Eq(t, []string{"v2"}, at(4*time.Hour, serversOf("v2", "v1")))
	must.SliceEmpty(t, c.Baselines(known, []Release{{Service: "llm"}}), must.Sprint("its release tells from then on"))
}

// A process that has just started takes nothing for gone, and a server of another version that it hears first for nothing new.
func TestCensusOfAProcessThatStarts(t *testing.T) {
	start := time.Now()
	var c Census
	known := []Baseline{{"llm", []string{"v1"}}}
	c.Take(start, serversOf("v2"))
	must.Eq(t, known, c.Baselines(known, nil))
	c.Take(start.Add(replacedAfter/2), serversOf("v2", "v1"))
	c.Take(start.Add(replacedAfter+censusTime), serversOf("v2", "v1"))
	must.Eq(t, known, c.Baselines(known, nil))
}

// What was in service before a release that was rolled back is followed in the same way, but never by what was rolled back.
func TestWhatFollowsVersionsBehindAReleaseThatWasRolledBack(t *testing.T) {
	start := time.Now()
	releases := []Release{{Service: "llm", Target: "v3", Phase: RolledBack, Barred: []string{"v2", "v3"}, Before: []string{"v1"}}}
	var c Census
	c.Take(start, serversOf("v1", "v2", "v3", "v4"))
	c.Take(start.Add(time.Hour), serversOf("v2", "v3"))
	must.Eq(t, releases, c.Replace(releases))
	c.Take(start.Add(2*time.Hour), serversOf("v2", "v3", "v4"))
	must.Eq(t, []string{"v4"}, c.Replace(releases)[0].Before)
	must.Eq(t, []string{"v1"}, releases[0].Before, must.Sprint("the value before is not changed"))
	releases[0].Phase = Running
	must.Eq(t, []string{"v1"}, c.Replace(releases)[0].Before, must.Sprint("a release goes on beside what it began beside"))
}

// While a version is tried and after it was rolled back, only what was in service before it serves. An order for the only version in
// service changes nothing for its servers: without this, they would get no more than the share of a version that is tried.
func TestReleaseBeginsBesideTheVersionsInService(t *testing.T) {
	order := func(target string, baseline ...string) Order {
		return Order{Service: "llm", Target: target, Deadline: time.Second, Newest: 99, Baseline: baseline}
	}
	first := started(t, nil, order("v2", "v1"))
	must.Eq(t, []bool{true, false, false}, []bool{first[0].InService("v1"), first[0].InService("v2"), first[0].InService("v3")})
	must.Eq(t, Completed, started(t, nil, order("v1", "v1"))[0].Phase)
	must.Eq(t, Running, started(t, nil, order("v1"))[0].Phase, must.Sprint("what is in service is not known"))
	must.Eq(t, []string{"v1"}, started(t, nil, order("v2", "v1", "v2"))[0].Before)

	back, _ := Move(first, "llm", 1, Running, RolledBack, "bad")
	must.Eq(t, Completed, started(t, back, order("v1"))[0].Phase, must.Sprint("it has served all the while"))
	must.Eq(t, []string{"v1"}, started(t, back, order("v3"))[0].Before)
	done, _ := Move(first, "llm", 1, Running, Completed, "")
	must.Eq(t, []string{"v2"}, started(t, done, order("v1"))[0].Before)
}
