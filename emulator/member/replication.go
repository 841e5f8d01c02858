package member

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// pathLog is the path on the control address from which replicas pull log entries: GET with the query parameters term,
// after, afterTerm and wait (in milliseconds).
const pathLog = "/log"

const (
	pullLongPoll       = 500 * time.Millisecond // how long the primary waits for new entries before it answers
	pullTimeout        = 2 * time.Second        // time limit of one pull, including the long poll
	pullRetryDelay     = 20 * time.Millisecond  // pause after a failed pull
	maxBatchEntries    = 2000
	maxBatchValueBytes = 1 << 20  // soft limit of keys and values: a batch ends after the entry that exceeds it
	maxPullAnswerBytes = 64 << 20 // hard limit of one answer: a longer one is truncated and fails to decode
)

// logBatch is the answer to a pull. If Match is set, the primary has the entry that the request names, and Entries
// follow it. Otherwise Term and Position name the last entry of the primary that the replica may share, and the replica
// asks again from its own last entry whose term and position do not exceed them.
type logBatch struct {
	Match    bool              `msgpack:"m"`
	Term     platform.Term     `msgpack:"t"`
	Position platform.Position `msgpack:"p"`
	Entries  []entry           `msgpack:"e"`
}

// prefixLength returns the number of leading entries whose position is at most p and whose term is at most t.
func prefixLength(log []entry, p platform.Position, t platform.Term) int {
	n := min(len(log), int(p))
	return sort.Search(n, func(i int) bool { return log[i].Term > t })
}

// readLog returns the log entries that follow the one with term afterTerm and position after, and a channel that is
// closed at the next change. It fails when the member is not the primary of term.
func (e *engine) readLog(term, afterTerm platform.Term, after platform.Position) (logBatch, <-chan struct{}, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role != platform.RolePrimary || e.fencedTerm != term {
		return logBatch{}, nil, fmt.Errorf("%w: member has role %s in term %d, the request asks for the log of term %d", errRefused, e.role, e.fencedTerm, term)
	}
	n := int(after)
	if n > len(e.log) || (n > 0 && e.log[n-1].Term != afterTerm) {
		n = prefixLength(e.log, after, afterTerm)
		if n == 0 {
			return logBatch{}, e.changed, nil
		}
		return logBatch{Term: e.log[n-1].Term, Position: platform.Position(n)}, e.changed, nil
	}
	b := logBatch{Match: true}
	size := 0
	for _, x := range e.log[n:] {
		if len(b.Entries) == maxBatchEntries || size > maxBatchValueBytes {
			break
		}
		for _, o := range x.Ops {
			size += len(o.Key) + len(o.Value)
		}
		b.Entries = append(b.Entries, x)
	}
	return b, e.changed, nil
}

// appendReplicated stores entries that the primary of term sent as following position n. It discards own entries that
// diverge from them. It fails when the member is no longer a replica in that term.
func (e *engine) appendReplicated(term platform.Term, n int, entries []entry) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role != platform.RoleReplica || e.fencedTerm != term {
		return fmt.Errorf("%w: member has role %s in term %d, the entries come from the primary of term %d", errRefused, e.role, e.fencedTerm, term)
	}
	for i, x := range entries {
		if x.Term > term || x.Position != platform.Position(n+i+1) {
			return fmt.Errorf("entry of term %d at position %d does not follow position %d in term %d", x.Term, x.Position, n+i, term)
		}
	}
	// Entries that are present already are kept, so that a delayed answer does not shorten the log.
	for len(entries) > 0 && n < len(e.log) && e.log[n].Term == entries[0].Term {
		entries, n = entries[1:], n+1
	}
	if len(entries) == 0 {
		return nil
	}
	e.truncateLocked(n)
	now := time.Now()
	for _, x := range entries {
		x.received = now
		e.log = append(e.log, x)
	}
	e.notifyLocked()
	return nil
}

// entryAt returns term and position of the entry at position n, or of the last entry if the log is shorter. It returns
// zeros for an empty log and for n = 0.
func (e *engine) entryAt(n int) (platform.Term, platform.Position) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n = min(n, len(e.log)); n == 0 {
		return 0, 0
	}
	return e.log[n-1].Term, platform.Position(n)
}

// pullLoop pulls entries from the primary of term until ctx ends. It pauses while the faults forbid replication.
func (m *Member) pullLoop(ctx context.Context, term platform.Term, primary platform.Member) {
	t := &http.Transport{DisableCompression: true}
	defer t.CloseIdleConnections()
	client := &http.Client{Transport: t}
	p := &puller{engine: m.engine, term: term, pullAllowed: m.pullAllowed,
		fetch: func(ctx context.Context, afterTerm platform.Term, after platform.Position) (logBatch, error) {
			return fetchBatch(ctx, client, primary.ControlAddr, term, afterTerm, after)
		}}
	for m.waitPullAllowed(ctx) {
		if err := p.pullOnce(ctx); err != nil && ctx.Err() == nil {
			t.CloseIdleConnections()
			sleepContext(ctx, pullRetryDelay)
		}
	}
}

// puller pulls entries for one replica. When the end of the replica's log does not match the log of the primary, it
// searches backwards for the last entry that both share.
type puller struct {
	engine         *engine
	term           platform.Term
	fetch          func(ctx context.Context, afterTerm platform.Term, after platform.Position) (logBatch, error)
	pullAllowed    func() bool // false while replication is paused; an answer that arrives then is discarded
	searching      bool        // the last request did not match; the next one asks from searchPosition
	searchPosition int
}

// pullOnce sends one request to the primary and stores the entries of its answer.
func (p *puller) pullOnce(ctx context.Context) error {
	e := p.engine
	if !p.searching {
		p.searchPosition = e.logLength()
	}
	afterTerm, after := e.entryAt(p.searchPosition)
	b, err := p.fetch(ctx, afterTerm, after)
	if err != nil {
		return err
	}
	if !p.pullAllowed() {
		return nil
	}
	if !b.Match {
		p.searchPosition, p.searching = e.matchCandidate(b), true
		return nil
	}
	p.searching = false
	return e.appendReplicated(p.term, int(after), b.Entries)
}

// matchCandidate returns the position of the last own entry whose term and position do not exceed those in b.
func (e *engine) matchCandidate(b logBatch) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return prefixLength(e.log, b.Position, b.Term)
}

func (e *engine) logLength() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.log)
}

// fetchBatch asks the primary of term at addr for the entries that follow the one with term afterTerm and position
// after.
func fetchBatch(ctx context.Context, client *http.Client, addr string, term, afterTerm platform.Term, after platform.Position) (logBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	q := url.Values{}
	q.Set("term", strconv.FormatUint(uint64(term), 10))
	q.Set("afterTerm", strconv.FormatUint(uint64(afterTerm), 10))
	q.Set("after", strconv.FormatUint(uint64(after), 10))
	q.Set("wait", strconv.FormatInt(pullLongPoll.Milliseconds(), 10))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+pathLog+"?"+q.Encode(), nil)
	if err != nil {
		return logBatch{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return logBatch{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPullAnswerBytes))
	if err != nil {
		return logBatch{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return logBatch{}, fmt.Errorf("pulling log entries: %s answered with status %d: %.200s", addr, resp.StatusCode, body)
	}
	var b logBatch
	return b, msgpack.Unmarshal(body, &b)
}

// applyLoop applies each received entry once the lag has passed. It runs until ctx ends.
func (m *Member) applyLoop(ctx context.Context) {
	for ctx.Err() == nil {
		f, faultsChanged := m.faults.get()
		due, changed := m.engine.applyDue(time.Now(), time.Duration(f.Lag), f.PauseApply)
		var timer <-chan time.Time
		if due > 0 {
			timer = time.After(due)
		}
		select {
		case <-timer:
		case <-changed:
		case <-faultsChanged:
		case <-ctx.Done():
		}
	}
}

// applyDue applies the entries received at least lag ago. It returns the time until the next entry is due, 0 if there
// is none, and a channel that is closed at the next change.
func (e *engine) applyDue(now time.Time, lag time.Duration, paused bool) (time.Duration, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if paused {
		return 0, e.changed
	}
	n := e.appliedEntries
	for n < len(e.log) && now.Sub(e.log[n].received) >= lag {
		n++
	}
	if n > e.appliedEntries {
		e.applyLocked(n)
		e.notifyLocked()
	}
	if n == len(e.log) {
		return 0, e.changed
	}
	return lag - now.Sub(e.log[n].received), e.changed
}

// sleepContext waits for d. It returns false when ctx ends first.
func sleepContext(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
