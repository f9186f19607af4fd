package ingress

import "moleshift/dataplane/admission"

// BeginDrain puts the server into the state of one that was told to end as the given drain says.
func (s *Server) BeginDrain(d admission.Drain) { s.drain.Store(&d) }
