package session

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"
)

// Memory bounds what the sessions of one process keep between statements: the definitions of their prepared statements and their
// session values. It does no I/O.
//
// Load pattern: many sessions prepare the same statements, or few keep as much as the protocol allows. Sessions with equal
// definitions share them. When the room is used up, the session that keeps most is ended until there is room. A session that
// keeps no more than freeState is never refused, so that ordinary callers do not meet the limit.
type Memory struct {
	limit   int64
	ended   atomic.Uint64
	refused atomic.Uint64

	mu          sync.Mutex
	used        int64                  // guarded by mu
	definitions map[string]*definition // guarded by mu; by shared name
	states      map[*State]struct{}    // guarded by mu; those that keep anything
	freed       chan struct{}          // guarded by mu; closed and replaced when room becomes free
}

// definition is the definition of a prepared statement.
type definition struct {
	sharedName string
	parse      []byte
	writes     bool
	users      int // guarded by Memory.mu; statements of sessions that have it
}

const (
	// freeState is the number of bytes that each session may keep without regard to the limit.
	freeState = 4 << 10
	// entryOverhead is about what the process needs for one entry beside its texts.
	entryOverhead = 128
	// roomWait is how long a session waits for the room of one that is ended for it.
	roomWait = 500 * time.Millisecond
)

// NewMemory returns a Memory of limit bytes. A nil Memory has room for everything and shares nothing.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit, definitions: map[string]*definition{}, states: map[*State]struct{}{}, freed: make(chan struct{})}
}

// State is what one session keeps. Its methods are called by one goroutine at a time.
type State struct {
	memory *Memory
	end    func() // ends the session

	bytes  int64 // guarded by memory.mu; as if the session shared nothing
	ending bool  // guarded by memory.mu; end has been called
}

// NewState returns the state of a session that keeps nothing. end must make the session end soon and must not call the Memory.
func (m *Memory) NewState(end func()) *State {
	if m == nil {
		return nil
	}
	return &State{memory: m, end: end}
}

// take reserves room for n bytes of the session's own and returns false if there is none.
func (s *State) take(n int) bool {
	return s == nil || s.memory.reserve(s, func() (own, shared int64) { return int64(n), 0 }, func() {})
}

// give gives up room that take has reserved.
func (s *State) give(n int) {
	if s == nil {
		return
	}
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	s.memory.add(s, -int64(n), -int64(n))
}

// define returns the definition for a statement that is called by a name of the session. It returns nil if there is no room.
func (s *State) define(name string, st Statement) *definition {
	d := newDefinition(st)
	if s == nil {
		return d
	}
	m, size := s.memory, int64(len(d.parse))
	entry := int64(len(name) + entryOverhead)
	known := func() *definition {
		if k := m.definitions[d.sharedName]; k != nil && bytes.Equal(k.parse, d.parse) {
			return k
		}
		return nil
	}
	reserved := m.reserve(s, func() (own, shared int64) {
		if known() != nil {
			return entry + size, -size
		}
		return entry + size, 0
	}, func() {
		if k := known(); k != nil {
			d = k
		} else if m.definitions[d.sharedName] == nil {
			m.definitions[d.sharedName] = d
		}
		d.users++
	})
	if !reserved {
		return nil
	}
	return d
}

// drop gives up a definition that define has returned for the name.
func (s *State) drop(name string, d *definition) {
	if s == nil {
		return
	}
	m, size := s.memory, int64(len(d.parse))
	m.mu.Lock()
	defer m.mu.Unlock()
	own := int64(len(name)+entryOverhead) + size
	used := own
	if d.users--; d.users > 0 {
		used -= size
	} else if m.definitions[d.sharedName] == d {
		delete(m.definitions, d.sharedName)
	}
	m.add(s, -own, -used)
}

// reserve waits for room and calls commit once there is some. need returns what the session keeps more, and what of that others
// keep already, as a negative number. Both functions are called with mu held.
func (m *Memory) reserve(s *State, need func() (own, shared int64), commit func()) bool {
	timer := time.NewTimer(roomWait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		own, shared := need()
		if !s.ending && (m.used+own+shared <= m.limit || s.bytes+own <= freeState) {
			commit()
			m.add(s, own, own+shared)
			m.mu.Unlock()
			return true
		}
		victim := m.largest()
		if s.ending || victim == nil || victim.bytes <= s.bytes+own {
			m.mu.Unlock()
			m.refused.Add(1)
			return false
		}
		end := !victim.ending
		if end {
			victim.ending = true
			m.ended.Add(1)
		}
		freed := m.freed
		m.mu.Unlock()
		if end {
			victim.end()
		}
		select {
		case <-freed:
		case <-timer.C:
			m.refused.Add(1)
			return false
		}
	}
}

// add changes what a session keeps and what the process needs for that. mu must be held.
func (m *Memory) add(s *State, own, used int64) {
	s.bytes += own
	m.used += used
	if s.bytes > 0 {
		m.states[s] = struct{}{}
	} else {
		delete(m.states, s)
	}
	if used < 0 {
		close(m.freed)
		m.freed = make(chan struct{})
	}
}

// largest returns the session that keeps most, nil if none keeps anything. mu must be held.
func (m *Memory) largest() (largest *State) {
	for s := range m.states {
		if largest == nil || s.bytes > largest.bytes {
			largest = s
		}
	}
	return largest
}

// MemoryStats is the state of a Memory and what it has done since the start.
type MemoryStats struct {
	Limit, Used    int64
	Definitions    int    // definitions of prepared statements, shared ones counted once
	Ended, Refused uint64 // sessions ended to make room, and commands refused for want of room
}

// Stats returns the state of the Memory.
func (m *Memory) Stats() MemoryStats {
	if m == nil {
		return MemoryStats{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return MemoryStats{Limit: m.limit, Used: m.used, Definitions: len(m.definitions), Ended: m.ended.Load(), Refused: m.refused.Load()}
}
