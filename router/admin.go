package router

// admin.go owns the page for operators: plain HTTP on a listener of its own, off unless an address is configured. It
// must never change anything, and never hold the owner up: it asks by the queue and waits on its own goroutine.

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"
)

const adminTimeout = 2 * time.Second

// admin answers questions on what the router holds.
type admin struct {
	o      *owner
	server *http.Server
}

func newAdmin(o *owner) *admin {
	a := &admin{o: o}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /duties", a.duties)
	mux.HandleFunc("GET /limits", a.limits)
	mux.HandleFunc("GET /leases", a.leases)
	a.server = &http.Server{Handler: mux, ReadHeaderTimeout: adminTimeout, ReadTimeout: adminTimeout,
		WriteTimeout: 2 * adminTimeout, IdleTimeout: 5 * adminTimeout, MaxHeaderBytes: 8 << 10}
	return a
}

// run serves until the program ends.
func (a *admin) run(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { a.server.Close() })
	defer stop()
	if err := a.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (a *admin) duties(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
	defer cancel()
	answer := make(chan *DutiesStatus, 1)
	a.o.post(ctx, func(o *owner) {
		if o.sharing == nil {
			answer <- nil
			return
		}
		s := o.sharing.status()
		answer <- &s
	})
	select {
	case s := <-answer:
		if s == nil {
			http.Error(w, "no duties are shared: members.enabled is off", http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(s) // an error is the reader's: it has gone
	case <-ctx.Done():
		http.Error(w, "the router does not answer in time", http.StatusServiceUnavailable)
	}
}

func (a *admin) leases(w http.ResponseWriter, r *http.Request) {
	if a.o.rights == nil {
		http.Error(w, "no rights are held: leases.enabled is off", http.StatusNotFound)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
	defer cancel()
	s, err := a.o.rights.Status(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s) // an error is the reader's: it has gone
}

// limits tells the books. They have a lock of their own, so the owner is not asked.
func (a *admin) limits(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(a.o.gate.status()) // an error is the reader's: it has gone
}
