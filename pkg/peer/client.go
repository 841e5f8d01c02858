package peer

import (
	"errors"
	"sync"
	"sync/atomic"

	"github.com/sycamorehub/sycamorehub/pkg/ring"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// errWindowExceeded ends a connection whose server sent more than its credit.
var errWindowExceeded = errors.New("peer: server exceeded its flow-control window")

// clientConn is the dialling end of a connection.
type clientConn struct {
	*baseConn
	pool      *Pool
	vmConns   *vmConns // where the pool keeps the connection
	window    int      // credit in bytes of one answer
	nextID    atomic.Uint64
	busySince atomic.Int64 // monotonic time at which pending last rose from 0, or of the dial
	suspected atomic.Bool  // suspect is checking whether the connection still answers
	toNotify  *call        // call whose goroutine is yet to be woken, see notifyLater; used by readLoop only

	mu         sync.Mutex
	calls      map[uint64]*call
	replies    map[uint64]chan reply
	pending    int  // calls and replies without an answer
	closedIdle bool // closed for being idle; accepts no more requests
}

// reply is the answer to a control message.
type reply struct {
	body []byte
	err  error
}

func newClientConn(base *baseConn, p *Pool, vc *vmConns) *clientConn {
	c := &clientConn{baseConn: base, pool: p, vmConns: vc, window: p.opts.Window,
		calls: map[uint64]*call{}, replies: map[uint64]chan reply{}}
	c.busySince.Store(int64(monotonic()))
	return c
}

// call is one forwarded unit that awaits its result. Its chunks, bounded by the window, wait in it for the goroutine that
// called Execute, so that a slow caller delays neither readLoop nor other calls.
type call struct {
	notify ring.Signal // raised after new chunks or the result

	mu         sync.Mutex
	chunks     []chunk
	queuedCost int // credit used by chunks that the sink has not taken yet
	done       bool
	result     unit.Result
}

// chunk is a part of an answer. payload aliases the body of frame.
type chunk struct {
	frame   wire.Frame
	payload []byte
}

func newCall() *call { return &call{notify: ring.NewSignal()} }

// take moves the queued chunks to into. When done is true, result is valid and no more chunks follow.
func (c *call) take(into []chunk) (chunks []chunk, result unit.Result, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	chunks = append(into[:0], c.chunks...)
	clear(c.chunks)
	c.chunks = c.chunks[:0]
	return chunks, c.result, c.done
}

// releaseCost subtracts the cost of a chunk that the sink has taken.
func (c *call) releaseCost(cost int) {
	c.mu.Lock()
	c.queuedCost -= cost
	c.mu.Unlock()
}

// addPending counts a request that awaits its answer. The caller holds mu.
func (c *clientConn) addPending() {
	if c.pending++; c.pending == 1 {
		c.busySince.Store(int64(monotonic()))
	}
}

// register adds a call. It fails if the connection was closed for being idle.
func (c *clientConn) register(k *call) (id uint64, ok bool) {
	id = c.nextID.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedIdle {
		return 0, false
	}
	c.calls[id] = k
	c.addPending()
	return id, true
}

// closeIfIdle closes the connection unless a request has been registered meanwhile.
func (c *clientConn) closeIfIdle() {
	c.mu.Lock()
	c.closedIdle = c.pending == 0
	closedIdle := c.closedIdle
	c.mu.Unlock()
	if closedIdle {
		c.pool.removeConn(c)
		c.close(ErrIdle)
	}
}

func (c *clientConn) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.calls[id]; ok {
		delete(c.calls, id)
		c.pending--
	}
}

// registerReply adds a control message, whose reply arrives on ch. It fails if the connection was closed for being idle.
func (c *clientConn) registerReply() (id uint64, ch chan reply, ok bool) {
	id, ch = c.nextID.Add(1), make(chan reply, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedIdle {
		return 0, nil, false
	}
	c.replies[id] = ch
	c.addPending()
	return id, ch, true
}

// takeReply removes a control message and returns its channel, or nil if it was removed before.
func (c *clientConn) takeReply(id uint64) chan reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch, ok := c.replies[id]
	if ok {
		delete(c.replies, id)
		c.pending--
	}
	return ch
}

func (c *clientConn) pendingRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// readLoop receives frames until the connection ends. It never blocks on a caller.
func (c *clientConn) readLoop() {
	for {
		f, err := c.nextFrame()
		if err == nil {
			err = confined(c.pool.opts.Log, "frame of a peer", func() error { return c.handleFrame(f) })
		}
		if !c.reader.FrameBuffered() {
			c.notifyLater(nil)
		}
		if err != nil {
			c.close(err)
			c.pool.removeConn(c)
			if c.purpose == wire.PurposeControl && c.endedUnexpectedly() {
				c.pool.opts.OnConnectionLost(c.vmConns.currentVM())
			}
			return
		}
	}
}

// notifyLater arranges that the goroutine of call k is woken once the frames that were received together have been handled,
// so that a chunk and the result after it wake the goroutine only once. It wakes that of an earlier call at once; a nil k
// does just that.
func (c *clientConn) notifyLater(k *call) {
	if c.toNotify != nil && c.toNotify != k {
		c.toNotify.notify.Raise()
	}
	c.toNotify = k
}

func (c *clientConn) handleFrame(f wire.Frame) error {
	switch f.Type {
	case wire.TypeChunk:
		return c.handleChunk(f)
	case wire.TypeResult:
		id, res, err := c.dec.Result(f.Body)
		if err != nil {
			return err
		}
		c.handleResult(id, res)
	case wire.TypeReply:
		id, body, failure, err := c.dec.Reply(f.Body)
		if err != nil {
			return err
		}
		if ch := c.takeReply(id); ch != nil {
			ch <- reply{body, failure}
		}
	case wire.TypePong:
	default:
		f.Release()
		return wire.ErrMalformed
	}
	return nil
}

func (c *clientConn) handleChunk(f wire.Frame) error {
	id, payload, err := c.dec.Chunk(f.Body)
	if err != nil {
		f.Release()
		return err
	}
	c.mu.Lock()
	k := c.calls[id]
	c.mu.Unlock()
	if k == nil { // the caller gave up, of which a Cancel tells the server
		f.Release()
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.queuedCost += wire.ChunkCost(len(payload))
	if k.queuedCost > c.window || k.done {
		f.Release()
		return errWindowExceeded
	}
	k.chunks = append(k.chunks, chunk{f, payload})
	c.notifyLater(k)
	return nil
}

// handleResult hands a result to its call. If nobody waits for the unit any more, a transaction that it left open is rolled
// back.
func (c *clientConn) handleResult(id uint64, res unit.Result) {
	c.mu.Lock()
	k := c.calls[id]
	c.mu.Unlock()
	if k == nil {
		if res.Tx.Open() {
			c.pool.Rollback(c.vmConns.currentVM(), res.Tx)
		}
		return
	}
	k.mu.Lock()
	k.result, k.done = res, true
	k.mu.Unlock()
	c.notifyLater(k)
}
