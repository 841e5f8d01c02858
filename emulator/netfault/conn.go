package netfault

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	chunkBytes = 32 << 10
	// chunksInFlight bounds the delayed data in one direction. With a delay of 12 ms it allows 85 MB/s.
	chunksInFlight = 32
	dialTimeout    = 5 * time.Second
)

// conn is one proxied connection.
type conn struct {
	link           *Link
	client, server net.Conn
	silent         atomic.Bool
	closeOnce      sync.Once
	ctx            context.Context
	cancel         context.CancelFunc
}

// chunk is data on its way, with the time at which the receiver gets it.
type chunk struct {
	data    []byte
	arrival time.Time
}

func newConn(ctx context.Context, link *Link, client net.Conn) *conn {
	c := &conn{link: link, client: client}
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// serve dials the target and forwards data until either side closes. While the link is cut it does not dial.
func (c *conn) serve(target string) {
	c.link.add(c)
	defer c.link.remove(c)
	defer c.close()
	context.AfterFunc(c.ctx, c.close)
	if !c.waitHealed() {
		return
	}
	server, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		return
	}
	c.server = server
	var wg sync.WaitGroup
	wg.Go(func() { c.forward(c.client, c.server) })
	wg.Go(func() { c.forward(c.server, c.client) })
	wg.Wait()
	_ = server.Close()
}

// close ends the connection: it cancels ctx and closes the client's side.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		c.cancel()
		_ = c.client.Close()
	})
}

// waitHealed waits until the link is not cut. It returns false when the connection ends first.
func (c *conn) waitHealed() bool {
	for {
		_, healed := c.link.delayAndCut()
		if healed == nil {
			return true
		}
		select {
		case <-healed:
		case <-c.ctx.Done():
			return false
		}
	}
}

// forward forwards data in one direction with the delay, bandwidth and faults of the link. Then it closes both sides.
func (c *conn) forward(from, to net.Conn) {
	queue := make(chan chunk, chunksInFlight)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.deliver(to, queue)
	}()
	c.receive(from, queue)
	close(queue)
	<-done
	c.close()
	_ = to.Close()
	_ = from.Close()
}

// receive reads data and queues it with the time of its arrival.
func (c *conn) receive(from net.Conn, queue chan<- chunk) {
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		c.link.ForwardedBytes.Add(uint64(n))
		if l := c.link.limiter; l != nil && l.WaitN(c.ctx, n) != nil {
			return
		}
		delay, _ := c.link.delayAndCut()
		select {
		case queue <- chunk{buf[:n], time.Now().Add(delay)}:
		case <-c.ctx.Done():
			return
		}
	}
}

// deliver writes queued data when it arrives. On a silent connection it discards the data.
func (c *conn) deliver(to net.Conn, queue <-chan chunk) {
	for ch := range queue {
		if wait := time.Until(ch.arrival); wait > 0 {
			select {
			case <-time.After(wait):
			case <-c.ctx.Done():
			}
		}
		if c.silent.Load() || !c.waitHealed() {
			continue
		}
		if _, err := to.Write(ch.data); err != nil {
			c.close()
		}
	}
}
