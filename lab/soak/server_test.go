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
