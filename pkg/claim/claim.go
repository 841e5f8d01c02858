// Package claim decides which VM may attempt to promote a member, on a platform whose members and promotion service do not tell
// one attempt from another. VMs claim the attempts of a service one after another, by conditional writes of one row of the table
// service. The package does no I/O; whoever uses it reads and writes the row.
//
// It answers one load pattern: the loss of a primary, which several VMs notice within a second of each other. If each of them
// decided by what it saw before the others' promotions took effect, the last promotion would undo the others.
package claim

import (
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// Window is how long an attempt of one VM keeps the others from theirs. A promoted member is the primary within a second of the
// request.
const Window = 1500 * time.Millisecond

// Settle is how long a VM waits between a claim that it has made over that of another VM and its request, and how long a further
// claim for the same primary holds: the others leave only the first one to its holder. A request that was sent before the
// later claim has arrived by then.
const Settle = 150 * time.Millisecond

// Claim is the content of the row: the last attempt of any VM.
type Claim struct {
	Holder string        `json:"holder"` // name of the VM
	Term   platform.Term `json:"term"`   // of the primary that it replaces
}

// Book is what one VM knows about the claims of attempts. It is safe for concurrent use.
type Book struct {
	self string

	mu       sync.Mutex
	services map[string]*record // guarded by mu
}

// record is what the VM knows about the claims for one service.
type record struct {
	version uint64        // newest version of the row that this VM knows; 0: no row
	foreign bool          // that version is a claim of another VM for the same primary or a later one
	own     uint64        // version of this VM's last claim; 0: none
	term    platform.Term // of that claim
	settled time.Time     // from which on this VM may act on that claim
	ends    time.Time     // when others may make a claim over that one
	other   Claim         // claim of another VM that this one has left the attempt to
	until   time.Time     // until when
}

// NewBook returns a Book of a VM that knows of no claim.
func NewBook(self string) *Book { return &Book{self: self, services: map[string]*record{}} }

// record returns the record of a service. The caller holds b.mu.
func (b *Book) record(service string) *record {
	r := b.services[service]
	if r == nil {
		r = &record{}
		b.services[service] = r
	}
	return r
}

// Expected returns the version that the row must have for a claim of this VM; 0: the row must be absent.
func (b *Book) Expected(service string) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.record(service).version
}

// Defers reports whether this VM must leave an attempt to replace the primary of term to the VM that has claimed it.
func (b *Book) Defers(service string, term platform.Term, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.record(service).defers(term, now)
}

func (r *record) defers(term platform.Term, now time.Time) bool {
	return r.other.Term >= term && now.Before(r.until)
}

// Made records that this VM's claim, requested at the given time, has become the row's given version.
func (b *Book) Made(service string, version uint64, term platform.Term, requested, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(service)
	hold := Window
	if r.own != 0 && r.term == term {
		hold = Settle
	}
	r.settled = now
	if r.foreign {
		r.settled = now.Add(Settle)
	}
	r.version, r.foreign, r.own, r.term, r.ends = version, false, version, term, requested.Add(hold)
}

// Found records the row that has kept this VM from claiming an attempt to replace the primary of term, and reports whether it
// must leave the attempt to the row's holder. It does so once for each holder and term, for the length of Window, since the
// holder may have ended. A claim for an earlier primary is that of an attempt that has ended.
func (b *Book) Found(service string, version uint64, found Claim, term platform.Term, now time.Time) (deferred bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(service)
	r.version, r.foreign = version, version != 0 && found.Holder != b.self && found.Term >= term
	if r.foreign && found != r.other {
		r.other, r.until = found, now.Add(Window)
	}
	return r.defers(term, now)
}

// Own returns the version of this VM's last claim for the primary of term, 0 if there is none. holds reports whether it still keeps
// other VMs from their attempts, and settled is the time from which on this VM may act on it.
func (b *Book) Own(service string, term platform.Term, now time.Time) (version uint64, holds bool, settled time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(service)
	if r.own == 0 || r.term != term {
		return 0, false, time.Time{}
	}
	return r.own, r.own == r.version && now.Before(r.ends), r.settled
}
