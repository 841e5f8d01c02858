package connpool

import "time"

// A member is told the team of the callers when a connection is opened, so a connection serves one team only. Opening one
// takes a slot of the member for some time, and there may be more teams than the member allows connections. The functions
// of this file decide which idle connection serves, makes room or is closed; they do no I/O.

// Limits of the idle connections. Those that a burst has opened are closed some time after it: if this VM loses power, the
// next owner finds the member at its connection limit until the member notices that these connections are dead.
const (
	idleTimeout = 2 * time.Second
	minIdle     = 2 // connections that stay open however long they are unused
	// teamIdleTimeout is how long the last connection of a team stays open unused, while all idle connections take no more
	// than half of the member's limit. A team that calls less often pays for opening one with each call.
	teamIdleTimeout = 30 * time.Second
)

// pooledConn is a connection with the team that it serves.
type pooledConn struct {
	Conn
	team string
}

// idleConn is a connection that no unit uses.
type idleConn struct {
	conn  *pooledConn
	since time.Time
}

// idleConns are the idle connections to a member, the least recently used one first.
type idleConns []idleConn

// take removes and returns the team's most recently used connection, or nil.
func (s *idleConns) take(team string) *pooledConn {
	for i := len(*s) - 1; i >= 0; i-- {
		if (*s)[i].conn.team == team {
			return s.remove(i)
		}
	}
	return nil
}

// evict removes and returns the connection that another team misses least: the least recently used one of the teams that
// have several, else the least recently used one. It returns nil if there is none.
func (s *idleConns) evict() *pooledConn {
	if len(*s) == 0 {
		return nil
	}
	count := s.countByTeam()
	for i, c := range *s {
		if count[c.conn.team] > 1 {
			return s.remove(i)
		}
	}
	return s.remove(0)
}

// takeExpired removes and returns the connections that have been idle for too long. limit is the member's connection limit.
func (s *idleConns) takeExpired(now time.Time, limit int) []*pooledConn {
	count := s.countByTeam()
	var expired []*pooledConn
	kept := (*s)[:0]
	left := len(*s)
	for _, c := range *s {
		age := now.Sub(c.since)
		last := c.conn.team != "" && count[c.conn.team] == 1 && age < teamIdleTimeout && left <= limit/2
		if left > minIdle && age >= idleTimeout && !last {
			expired = append(expired, c.conn)
			count[c.conn.team]--
			left--
			continue
		}
		kept = append(kept, c)
	}
	clear((*s)[len(kept):])
	*s = kept
	return expired
}

// takeAll removes and returns all connections.
func (s *idleConns) takeAll() []*pooledConn {
	all := make([]*pooledConn, len(*s))
	for i, c := range *s {
		all[i] = c.conn
	}
	*s = nil
	return all
}

func (s *idleConns) countByTeam() map[string]int {
	count := map[string]int{}
	for _, c := range *s {
		count[c.conn.team]++
	}
	return count
}

func (s *idleConns) remove(i int) *pooledConn {
	c := (*s)[i].conn
	copy((*s)[i:], (*s)[i+1:])
	(*s)[len(*s)-1] = idleConn{}
	*s = (*s)[:len(*s)-1]
	return c
}

// waiter is a unit that waits for a connection of its team, or for the permit to open one, which is nil on the channel.
type waiter struct {
	ch    chan *pooledConn
	team  string
	since time.Time
}

// passOverLimit is how long the first waiter may be passed over for a later one whose team the free connection serves. It is
// about the time that a member takes to open a connection, which closing this one would cost.
const passOverLimit = 25 * time.Millisecond

// nextWaiter returns the index of the waiter that a free connection of the team goes to, and whether it can use the
// connection. If it cannot, the connection makes room for one of its own. The index is -1 if nobody waits.
func nextWaiter(waiters []waiter, team string, now time.Time) (index int, usable bool) {
	if len(waiters) == 0 {
		return -1, false
	}
	if now.Sub(waiters[0].since) < passOverLimit {
		for i, w := range waiters {
			if w.team == team {
				return i, true
			}
		}
	}
	return 0, waiters[0].team == team
}
