// Package wire encodes and decodes the frames and messages that daemons exchange. A frame is a 4-byte big-endian
// length of what follows, a version byte, a type byte and a msgpack array. The package does no I/O of its own beyond
// reading frames from an io.Reader.
package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
)

// Limits and layout of a frame.
const (
	Version           = 1       // protocol version, in every frame
	MaxFrame          = 1 << 20 // limit of the bytes after the length field
	MaxHandshakeFrame = 4 << 10 // the same limit until the handshake is complete
	lengthFieldBytes  = 4
	versionTypeBytes  = 2 // one byte for the version, one for the type
	headerBytes       = lengthFieldBytes + versionTypeBytes
	readBufferBytes   = 16 << 10
)

// Errors of the frame codec. All of them end the connection, since the stream can't be resynchronised.
var (
	ErrTooLarge  = errors.New("wire: frame exceeds the maximum length")
	ErrTooShort  = errors.New("wire: frame is shorter than its header")
	ErrVersion   = errors.New("wire: peer speaks another protocol version")
	ErrMalformed = errors.New("wire: malformed message")
)

// Type is the type byte of a frame.
type Type uint8

// Message types. The numbers are part of the protocol.
const (
	TypeHello Type = iota + 1
	TypeRefuse
	TypePing
	TypePong
	TypeExecute
	TypeChunk
	TypeCredit
	TypeResult
	TypeCancel
	TypeRollback
	TypeReply
	TypeHeartbeat
	TypeConfigRequest
	TypeViewRequest
	TypeCancelKey
	TypeListsRequest
	TypeTeamLimit
)

// IsRequest reports whether the type is answered by a Reply from a registered handler.
func (t Type) IsRequest() bool { return t >= TypeHeartbeat && t <= TypeTeamLimit }

// Frame is one received frame. The Body of a Chunk stays valid until Release. The Body of an Execute, a Reply or a request
// belongs to the receiver. Any other Body stays valid until the next call of Reader.Next.
type Frame struct {
	Type   Type
	Body   []byte
	pooled *[]byte // buffer that holds the Body of a Chunk
}

// Release returns the buffer of a Chunk for reuse. It is a no-op for other frames and must be called at most once.
func (f *Frame) Release() {
	if f.pooled != nil {
		putBuffer(f.pooled)
		f.pooled, f.Body = nil, nil
	}
}

// Reader reads frames from a stream. It isn't safe for concurrent use.
type Reader struct {
	br        *bufio.Reader
	maxFrame  int    // limit of the bytes after the length field
	scratch   []byte // reused for each Body that is valid only until the next call of Next
	header    [headerBytes]byte
	bytesRead uint64 // of complete frames
}

// NewReader returns a reader that accepts frames of up to MaxHandshakeFrame bytes; see SetLimit.
func NewReader(r io.Reader) *Reader {
	return &Reader{br: bufio.NewReaderSize(r, readBufferBytes), maxFrame: MaxHandshakeFrame}
}

// SetLimit sets the largest accepted frame in bytes, at most MaxFrame. Callers raise it only after the handshake, so that
// an unknown peer can't make the daemon allocate large buffers.
func (r *Reader) SetLimit(n int) { r.maxFrame = min(n, MaxFrame) }

// BytesRead returns the number of bytes of all complete frames read so far.
func (r *Reader) BytesRead() uint64 { return r.bytesRead }

// FrameBuffered reports whether the whole next frame has been received, so that Next does not wait.
func (r *Reader) FrameBuffered() bool {
	buffered := r.br.Buffered()
	if buffered < headerBytes {
		return false
	}
	length, err := r.br.Peek(lengthFieldBytes)
	return err == nil && uint64(buffered) >= lengthFieldBytes+uint64(binary.BigEndian.Uint32(length))
}

// Next reads one frame. It checks the length before it allocates anything.
func (r *Reader) Next() (Frame, error) {
	if _, err := io.ReadFull(r.br, r.header[:]); err != nil {
		return Frame{}, err
	}
	n := int64(binary.BigEndian.Uint32(r.header[:lengthFieldBytes]))
	switch {
	case n < versionTypeBytes:
		return Frame{}, ErrTooShort
	case n > int64(r.maxFrame):
		return Frame{}, fmt.Errorf("%w: %d bytes", ErrTooLarge, n)
	case r.header[lengthFieldBytes] != Version:
		return Frame{}, fmt.Errorf("%w: %d", ErrVersion, r.header[lengthFieldBytes])
	}
	f := Frame{Type: Type(r.header[lengthFieldBytes+1])}
	r.allocateBody(&f, int(n)-versionTypeBytes)
	if _, err := io.ReadFull(r.br, f.Body); err != nil {
		f.Release()
		return Frame{}, err
	}
	r.bytesRead += lengthFieldBytes + uint64(n)
	return f, nil
}

// allocateBody gives f a Body of n bytes with the lifetime that Frame states for its type.
func (r *Reader) allocateBody(f *Frame, n int) {
	switch {
	case f.Type == TypeChunk:
		f.pooled = getBuffer(n)
		f.Body = (*f.pooled)[:n]
	case f.Type == TypeExecute || f.Type == TypeReply || f.Type.IsRequest():
		f.Body = make([]byte, n)
	default:
		if cap(r.scratch) < n {
			r.scratch = make([]byte, n)
		}
		f.Body = r.scratch[:n]
	}
}

// bufferSizes are the capacities in bytes of the pooled chunk buffers. A frame takes the smallest that fits, so that a
// small chunk in a queue doesn't hold a large buffer.
var bufferSizes = [...]int{512, 4 << 10, 32 << 10, MaxFrame}

var bufferPools [len(bufferSizes)]sync.Pool

func getBuffer(n int) *[]byte {
	for i, size := range bufferSizes {
		if n > size {
			continue
		}
		if b, ok := bufferPools[i].Get().(*[]byte); ok {
			return b
		}
		b := make([]byte, size)
		return &b
	}
	b := make([]byte, n)
	return &b
}

func putBuffer(b *[]byte) {
	for i, size := range bufferSizes {
		if cap(*b) == size {
			bufferPools[i].Put(b)
			return
		}
	}
}

// chunkOverheadBytes is the credit that a queued chunk uses besides that for its payload. It equals the smallest of
// bufferSizes: without it a stream of tiny chunks would hold far more memory than its credit.
const chunkOverheadBytes = 512

// ChunkCost returns the credit in bytes that a chunk with n payload bytes uses.
func ChunkCost(n int) int { return n + chunkOverheadBytes }
