package ingress

import (
	"runtime"

	"moleshift/dataplane/admission"
)

// BeginDrain puts the server into the state of one that was told to end as the given drain says.
func (s *Server) BeginDrain(d admission.Drain) { s.drain.Store(&d) }

// AwaitActive returns once some request is being read or answered.
func (s *Server) AwaitActive() { s.AwaitActiveOf(1) }

// AwaitRest returns once no request is being read or answered: a client has its answer a moment before its connection rests.
func (s *Server) AwaitRest() {
	for s.active() > 0 {
		runtime.Gosched()
	}
}

// AwaitActiveOf returns once so many requests are being read or answered.
func (s *Server) AwaitActiveOf(n int) {
	for s.active() < n {
		runtime.Gosched()
	}
}
