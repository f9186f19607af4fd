package ingress_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"moleshift/controlplane/configuration"
	"moleshift/dataplane/follower"
	"moleshift/dataplane/routing"
)

// withoutKey is the configuration of the tests without the tenant's key.
func withoutKey(t *testing.T) *routing.Table {
	t.Helper()
	d, err := configuration.Parse([]byte(strings.Replace(configurationText, `"api-keys":["key"]`, `"api-keys":["other"]`, 1)))
	must.NoError(t, err)
	return routing.Compile(d)
}

// Guards against CONFIG where fail-closed is true: a router that was cut off or frozen hears again, and a request comes at the very moment
// at which the new configuration, without its key, takes the place of the old one. Whichever look at it falls before the change, the request
// does not run.
func TestKeyTakenAwayIsNotServedWhileTheConfigurationChanges(t *testing.T) {
	changed := withoutKey(t)
	for changeAt := int64(2); changeAt < 8; changeAt++ {
		s := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, _ string) { ok(c, r, "fine") })
		router := start(t, s.instance("batch"))
		router.update(func(s *follower.Snapshot) { s.Lease, s.Confirmed = time.Minute, time.Now().Add(-time.Minute) })
		router.looks.Store(0)
		router.onLook = func(n int64) {
			if n == changeAt {
				router.publish(func(s *follower.Snapshot) { s.Table, s.Confirmed = changed, time.Now() })
			}
		}
		c := router.dial()
		c.send("/once/", "a")
		resp, _, err := c.answer()
		must.NoError(t, err)
		must.True(t, resp.StatusCode == 503 || resp.StatusCode == 401, must.Sprint(resp.StatusCode))
		must.Len(t, 0, s.seen())
	}
}

// A key that is taken away between the look-up of a request and its sending is not served either.
func TestKeyTakenAwayBeforeTheRequestIsSent(t *testing.T) {
	changed := withoutKey(t)
	s := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, _ string) { ok(c, r, "fine") })
	router := start(t, s.instance("batch"))
	router.update(func(s *follower.Snapshot) { s.Lease, s.Confirmed = time.Minute, time.Now() })
	router.looks.Store(0)
	router.onLook = func(n int64) {
		if n == 3 { // the first two are those of the start and of the look-up
			router.publish(func(s *follower.Snapshot) { s.Table = changed })
		}
	}
	c := router.dial()
	c.send("/once/", "a")
	resp, _, err := c.answer()
	must.NoError(t, err)
	must.Eq(t, 503, resp.StatusCode)
	must.Len(t, 0, s.seen())
}
