package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// The platform's list may lack members that run: their entries expire while the platform is unavailable and come back within
// MissingGrace of its return. A list therefore says that a member is gone only if it was read MissingGrace after the member had
// vanished, and if no read has failed in between. Until then the member stays in use.
//
// A process that has just started has seen no member vanish. Its first list counts as complete only after a second read, under the
// same conditions. A peer whose list is complete and has the same content stands for the second read in both cases.

// Complete reports whether the members in use are all members of their services, so that a majority of them is one of the service.
// It is false after the start, until the platform's list has been read twice or a peer has confirmed it.
func (d *Directory) Complete() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isComplete()
}

// isComplete is Complete for a caller that holds mu.
func (d *Directory) isComplete() bool {
	return d.current.Load() != nil && (d.complete || d.options.MissingGrace == 0)
}

// ListComplete reports whether the list itself, without the members that are missing from it, is known to be complete. Peers that
// hold the same list need not wait any longer.
func (d *Directory) ListComplete() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isComplete() && len(d.missing) == 0
}

// ReadSince reports whether the platform's list has been read in answer to a request sent at or after the given time.
func (d *Directory) ReadSince(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.lastRead.IsZero() && !d.lastRead.Before(at)
}

// ConfirmComplete is Confirm for a peer whose list is complete. Members that the list lacks are then gone.
func (d *Directory) ConfirmComplete(hash uint32, version uint64) {
	d.Confirm(hash, version)
	d.mu.Lock()
	defer d.mu.Unlock()
	current := d.current.Load()
	if current == nil || current.hash != hash {
		return
	}
	d.complete = true
	if len(d.missing) > 0 {
		d.restartGrace(time.Time{})
		d.publish(current.listed, current.version, time.Now())
	}
	d.armRead()
}

// noteRead records a successful read of the platform's list that began at the given time. The caller holds mu.
func (d *Directory) noteRead(began time.Time) {
	d.lastRead = began
	if d.readFailed { // entries may have expired since the last read
		d.readFailed = false
		d.restartGrace(time.Now())
	}
	d.complete = d.complete || !d.heldSince.IsZero() && began.Sub(d.heldSince) >= d.options.MissingGrace
}

// noteFailedRead records that the list could not be read.
func (d *Directory) noteFailedRead() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readFailed = true
	d.armRead()
}

// restartGrace makes MissingGrace run from the given time for all members that are missing, and for the first list. The caller
// holds mu.
func (d *Directory) restartGrace(from time.Time) {
	if !d.heldSince.IsZero() {
		d.heldSince = from
	}
	for name := range d.missing {
		d.missing[name] = from
	}
}

// withMissing returns the list with those members of before that it lacks, unless they are gone or have a successor. A member is gone
// if it has been missing for MissingGrace at the time readAt. It does not modify the list. The caller holds mu.
func (d *Directory) withMissing(list, before []platform.Service, readAt time.Time) []platform.Service {
	stillMissing := map[string]time.Time{}
	out := list
	for _, s := range before {
		for _, m := range s.Members {
			if d.isListedOrReplaced(m, list) {
				continue
			}
			since, known := d.missing[m.Name]
			if !known {
				since = time.Now()
			}
			if readAt.Sub(since) < d.options.MissingGrace {
				stillMissing[m.Name] = since
				out = withMember(out, s, m)
			}
		}
	}
	d.missing = stillMissing
	return out
}

// isListedOrReplaced reports whether the list has m or a successor of m.
func (d *Directory) isListedOrReplaced(m platform.Member, list []platform.Service) bool {
	return slices.ContainsFunc(list, func(s platform.Service) bool {
		return slices.ContainsFunc(s.Members, func(listed platform.Member) bool {
			return listed.Name == m.Name || d.options.IsSuccessor(m, listed)
		})
	})
}

// openSince returns the time since when it has been open which members there are, and false if that is known. The caller holds mu.
func (d *Directory) openSince() (since time.Time, open bool) {
	if !d.isComplete() && !d.heldSince.IsZero() {
		since, open = d.heldSince, true
	}
	for _, at := range d.missing {
		if !open || at.Before(since) {
			since, open = at, true
		}
	}
	return since, open
}

// armRead arranges for the read that settles which members there are. Readers read at the end of MissingGrace, and the other VMs,
// which the readers usually tell by then, after twice that time. The caller holds mu.
func (d *Directory) armRead() {
	if d.settle != nil {
		d.settle.Stop()
		d.settle = nil
	}
	since, open := d.openSince()
	if !open || d.stopped || d.options.MissingGrace == 0 {
		return
	}
	wait := d.options.MissingGrace
	if !d.options.IsReader() {
		wait *= 2
	}
	due := time.Until(since.Add(wait))
	if due <= 0 {
		due = wait // the last read has failed or came too early
	}
	d.settle = time.AfterFunc(due, d.poller.RequestRead)
}

// awaitsRead reports whether this VM has to read the list itself, since no peer has told in time which members there are.
func (d *Directory) awaitsRead() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	since, open := d.openSince()
	return open && time.Since(since) >= 2*d.options.MissingGrace
}

// withMember returns a copy of the list in which m is a member of service, with services and members sorted by name.
func withMember(list []platform.Service, service platform.Service, m platform.Member) []platform.Service {
	list = slices.Clone(list)
	i, found := slices.BinarySearchFunc(list, service.Name, func(s platform.Service, name string) int { return cmp.Compare(s.Name, name) })
	if !found {
		service.Members = nil
		list = slices.Insert(list, i, service)
	}
	members := slices.Clone(list[i].Members)
	at, _ := slices.BinarySearchFunc(members, m.Name, func(other platform.Member, name string) int { return cmp.Compare(other.Name, name) })
	list[i].Members = slices.Insert(members, at, m)
	return list
}
