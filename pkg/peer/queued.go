package peer

// Queued counts what waits on connections at one moment. These queues aren't rings as in package ring, since the hand-over
// to another goroutine would cost each statement more than the wait for a lock.
type Queued struct {
	Writers int // frames whose sender waits for the write of another frame to end
	Chunks  int // chunks of answers that their callers haven't taken yet; the window bounds the bytes of each answer
	Units   int // units and control messages that run for peers, at most Options.MaxUnits of each per connection
}

// Queued returns what waits on the pool's connections.
func (p *Pool) Queued() Queued {
	var q Queued
	for _, c := range p.connections() {
		q.Writers += int(c.writer.waiting.Load())
		q.Chunks += c.queuedChunks()
	}
	return q
}

func (c *clientConn) queuedChunks() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.calls {
		k.mu.Lock()
		n += len(k.chunks)
		k.mu.Unlock()
	}
	return n
}

// Queued returns what waits or runs on the server's connections.
func (s *Server) Queued() Queued {
	var q Queued
	for _, c := range s.connections() {
		q.Writers += int(c.writer.waiting.Load())
		c.mu.Lock()
		q.Units += len(c.running) + c.runningHandlers
		c.mu.Unlock()
	}
	return q
}
