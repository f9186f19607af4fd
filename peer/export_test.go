package peer

// CloseIdle closes the connections that rest.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		h.CloseIdleConnections()
	}
}

// Shutdown closes the listener and returns once no call is under way.
func (s *Server) Shutdown() error { return s.http.Shutdown() }
