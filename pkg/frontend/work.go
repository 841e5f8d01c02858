package frontend

import (
	"sync"

	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

const (
	inBufferBytes  = 4 << 10  // initial size of the input buffer
	outBufferBytes = 16 << 10 // size up to which an answer is collected for one write
	// maxPooledBufferBytes is the largest buffer that is kept for reuse; a larger one has grown for a single unit.
	maxPooledBufferBytes = 64 << 10
)

// workspace holds what a session needs only while it is not idle: its buffers and the unit in progress.
type workspace struct {
	in        []byte // bytes read from the caller; in[inPos:] are not yet handled
	inPos     int
	readBytes int    // bytes of the last read
	readErr   error  // error of the last read
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

// reset prepares the workspace for the next unit and drops references to the last one.
func (w *workspace) reset() {
	clear(w.unit.Statements)
	w.unit = unit.Unit{Statements: w.unit.Statements[:0]}
	w.assembly.reset()
}

// idle reports whether no part of a unit has been read.
func (w *workspace) idle() bool { return w.pending() == 0 && !w.assembly.started }

// pending returns the number of bytes that have been read and not yet handled.
func (w *workspace) pending() int { return len(w.in) - w.inPos }

// assembly collects the messages of the unit that is being read.
type assembly struct {
	messages      []byte   // encoded messages of the unit, with statement names rewritten
	started       bool     // a message has been read
	lastType      byte     // type of the last message: 'Q', 'S' or 'F'
	hasLocal      bool     // a message refers to a statement that the frontend answers itself
	hasRemote     bool     // a message refers to a statement for the executor
	refusal       error    // the unit is answered with this error
	skipToSync    bool     // an error has been sent; messages up to Sync are dropped
	lastWasFlush  bool     // the last message was Flush
	parsesUnnamed bool     // the unit parses the unnamed statement
	command       command  // the command that characterizes the unit; see noteCommand
	runsStatement bool     // the unit runs a statement, rather than only preparing or describing it
	parsedNames   []string // named statements that the unit parses
}

func (a *assembly) reset() {
	messages, parsedNames := a.messages[:0], a.parsedNames[:0]
	if cap(messages) > maxPooledBufferBytes {
		messages = nil
	}
	clear(a.parsedNames)
	*a = assembly{messages: messages, parsedNames: parsedNames}
}
