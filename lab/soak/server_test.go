package soak

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
)

// A server that is closed while it loads weights leaves nothing behind, however long the load would have taken.
func TestCloseEndsLoads(t *testing.T) {
	s, err := newModelServer(serverOptions{
		id: "i", service: modelService, software: software{version: firstSoftware}, loadTime: time.Hour, faults: newServerFaults(false, 0, nil),
	}, &History{began: time.Now()}, nil)
	must.NoError(t, err)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	status, _ := call(context.Background(), client, "POST", "http://"+s.listener.Addr().String()+"/order", map[string]any{"version": 2, "fence-token": 1})
	must.Eq(t, http.StatusAccepted, status)
	s.close()
	goleak.VerifyNone(t)
}

// A server that runs what its caller has left ends that run when it is closed: a stream of an hour leaves nothing behind.
func TestCloseEndsRuns(t *testing.T) {
	s, err := newModelServer(serverOptions{
		id: "i", service: modelService, software: software{version: firstSoftware}, faults: serverFaults{goesOn: true},
	}, &History{began: time.Now()}, nil)
	must.NoError(t, err)
	req, err := http.NewRequest("POST", "http://"+s.listener.Addr().String()+"/resumable/x?events=90000", http.NoBody)
	must.NoError(t, err)
	req.Header.Set("Moleshift-Expect-Instance", "i")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	s.close()
	goleak.VerifyNone(t)
}
