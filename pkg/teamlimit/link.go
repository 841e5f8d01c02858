package teamlimit

import "time"

// link is a VM's relation to the keepers of one shard. It is attached to one keeper at a time: before it confirms a reply of
// another one, the former must have counted it out.
type link struct {
	keeper      string // VM to which requests go; empty before the first
	incarnation uint64
	stamp       uint64        // of the latest reply
	heard       time.Duration // when that reply arrived
	boundUntil  time.Duration // the keeper may count this VM as attached until then
}

// mayTurnTo reports whether requests may go to the given keeper now.
func (l *link) mayTurnTo(keeper string, now time.Duration) bool {
	return l.keeper == keeper || l.keeper == "" || now >= l.boundUntil
}

// turnTo makes keeper the one to which requests go.
func (l *link) turnTo(keeper string) {
	if l.keeper != keeper {
		*l = link{keeper: keeper}
	}
}

// request returns the next request to the keeper. Sending it may attach this VM from the moment of the confirmed reply on,
// which the keeper sent before it arrived here.
func (l *link) request(wants []Want) Request {
	if l.stamp != 0 {
		l.boundUntil = max(l.boundUntil, l.heard+Attachment)
	}
	return Request{Incarnation: l.incarnation, Confirmed: l.stamp, Wants: wants}
}

// receive takes over a reply of the keeper.
func (l *link) receive(r Reply, now time.Duration) {
	if r.Incarnation != l.incarnation {
		l.boundUntil = 0 // the process that counted this VM has ended
	}
	l.incarnation, l.stamp, l.heard = r.Incarnation, r.Stamp, now
}

// countedOut notes that the keeper counts this VM no more: it has said so, or its process has ended.
func (l *link) countedOut() { *l = link{} }

// renewalDue reports whether the keeper should hear from this VM though nothing is wanted.
func (l *link) renewalDue(keeper string, now time.Duration) bool {
	return l.keeper != keeper || l.stamp == 0 || now >= l.heard+renewInterval
}

// renewInterval leaves two attempts before an attachment ends.
const renewInterval = Attachment * 2 / 5
