package frontend

import (
	"sync"

	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

const (
	inBufferBytes  = 4 << 10
	outBufferBytes = 16 << 10
	// maxPooledBufferBytes is the largest buffer that is kept for reuse; larger ones served one large unit.
	maxPooledBufferBytes = 64 << 10
)

// workspace holds the buffers of a session that is not idle.
type workspace struct {
	in        []byte // bytes read from the caller; in[inPos:] are not yet handled
	inPos     int
	readBytes int // bytes of the last read
	readErr   error
	out       []byte // bytes for the caller
	unit      unit.Unit
	assembly  assembly
	sink      callerSink
}

var workspacePool = sync.Pool{New: func() any {
	return &workspace{in: make([]byte, 0, inBufferBytes), out: make([]byte, 0, outBufferBytes)}
}}

func getWorkspace() *workspace { return workspacePool.Get().(*workspace) }

func putWorkspace(w *workspace) {
	w.reset()
	w.in, w.inPos, w.readErr = w.in[:0], 0, nil
	w.out = w.out[:0]
	w.sink = callerSink{}
	if cap(w.in) > maxPooledBufferBytes {
		w.in = make([]byte, 0, inBufferBytes)
	}
	workspacePool.Put(w)
}

// reset prepares for the next unit and drops references to the last one.
func (w *workspace) reset() {
	clear(w.unit.Statements)
	w.unit = unit.Unit{Statements: w.unit.Statements[:0]}
	w.assembly.reset()
}

// idle reports whether no part of a unit has been read.
func (w *workspace) idle() bool { return w.pending() == 0 && !w.assembly.started }

func (w *workspace) pending() int { return len(w.in) - w.inPos }

// assembly is the unit being read.
type assembly struct {
	messages      []byte // messages of the unit, statement names rewritten
	started       bool   // a message has been read
	lastType      byte   // type of the last message: 'Q', 'S' or 'F'
	hasLocal      bool   // a message refers to a statement that is answered here
	hasRemote     bool   // a message needs the executor
	refusal       error  // the unit is answered with this error
	skipToSync    bool   // the error has been sent; the rest up to Sync is dropped
	lastWasFlush  bool   // the last message was Flush
	parsesUnnamed bool   // the unit parses the unnamed statement
	command       command
	runsStatement bool // the unit runs a statement, rather than only preparing or describing it
	parsedNames   []string
}

func (a *assembly) reset() {
	messages, parsedNames := a.messages[:0], a.parsedNames[:0]
	if cap(messages) > maxPooledBufferBytes {
		messages = nil
	}
	clear(a.parsedNames)
	*a = assembly{messages: messages, parsedNames: parsedNames}
}
