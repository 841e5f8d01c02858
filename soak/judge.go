package main

import (
	"errors"
	"fmt"
	"os/exec"
	"slices"
	"syscall"
	"time"

	"github.com/sycamorehub/sycamorehub/emulator/workload"
)

// stop is a planned stop of a daemon.
type stop struct {
	vm, addr    string // addr is the VM's caller address
	sent, ended time.Time
	err         error // of the process's exit
	// beforeReady means that the daemon was not ready when it got SIGTERM. It may then end by the signal itself, since it
	// may not have got as far as handling it.
	beforeReady bool
}

// kill is a kill of a daemon.
type kill struct {
	vm, addr string
	at, gone time.Time
}

// on reports whether the connection of the request was opened to a process that was ended between from and to, and the
// request was answered or given up after from.
func on(r workload.Request, addr string, from, to time.Time) bool {
	return r.Addr == addr && !r.Opened.After(to) && !r.End.Before(from)
}

const (
	codeDraining        = "57P01"
	codeUniqueViolation = "23505"
	// stopSlack is how much longer than the limits of the settings a stop may take on a busy machine.
	stopSlack = 10 * time.Second
)

// answerCodes are the SQLSTATEs that callers may get under faults: refused as overload or without a primary, reconnect,
// outcome unknown, read not within its bounds or transaction lost, deadline.
var answerCodes = []string{"53400", "57P03", codeDraining, workload.SQLStateOutcomeUnknown, "40001", "57014"}

// judgeRequests returns how requests contradict the promises to callers.
func judgeRequests(requests []workload.Request, stops []stop, kills []kill) []string {
	var out []string
	for _, r := range requests {
		if broken := judgeRequest(r, stops, kills); broken != "" {
			out = append(out, fmt.Sprintf("%s: %s request to %s, %s to %s: %v", broken, r.Class, r.Addr,
				r.Begin.Format(clockFormat), r.End.Format(clockFormat), r.Err))
		}
	}
	return out
}

// judgeRequest returns the promise that one request breaks, or "". A request may lose its connection only if its VM is
// killed.
func judgeRequest(r workload.Request, stops []stop, kills []kill) string {
	code := workload.ErrorCode(r.Err)
	switch {
	case r.Wrong != "":
		return r.Wrong
	case r.Err == nil:
		return ""
	case code == codeUniqueViolation:
		return "ran twice" // each row has a key of its own
	case code == codeDraining && r.InTransaction:
		return "transaction cut off by a drain"
	case code != workload.ConnectionLost && !slices.Contains(answerCodes, code):
		return "unexpected answer"
	case code != workload.ConnectionLost:
		return ""
	case slices.ContainsFunc(kills, func(k kill) bool { return on(r, k.addr, k.at, k.gone) }):
		return ""
	case slices.ContainsFunc(stops, func(s stop) bool { return on(r, s.addr, s.sent, s.ended) && !r.Begin.After(s.ended) }):
		return "cut off by a planned stop"
	case slices.ContainsFunc(stops, func(s stop) bool { return on(r, s.addr, s.sent, s.ended) }):
		return "connection closed by a planned stop without a reason"
	}
	return "no answer from a VM that runs"
}

// judgeStop returns how a stop breaks the promise that it ends by itself within limit, or "".
func judgeStop(s stop, limit time.Duration) string {
	var exit *exec.ExitError
	if errors.As(s.err, &exit) {
		status, ok := exit.Sys().(syscall.WaitStatus)
		if ok && s.beforeReady && status.Signaled() && status.Signal() == syscall.SIGTERM {
			return ""
		}
	}
	switch took := s.ended.Sub(s.sent); {
	case s.err != nil:
		return fmt.Sprintf("%s did not stop by itself after SIGTERM at %s: %v", s.vm, s.sent.Format(clockFormat), s.err)
	case took > limit+stopSlack:
		return fmt.Sprintf("%s took %v to stop, limit %v", s.vm, took, limit)
	}
	return ""
}

// judgeLedger returns how the rows contradict what callers were told.
func judgeLedger(orders []workload.Order, l *workload.Ledger) []string {
	var out []string
	for _, id := range l.Lost {
		out = append(out, "acknowledged order is lost: "+id)
	}
	for _, id := range l.Partial {
		out = append(out, "transaction is in part on the primary: "+id)
	}
	for _, id := range l.RanAnyway {
		i := slices.IndexFunc(orders, func(o workload.Order) bool { return o.ID == id })
		out = append(out, fmt.Sprintf("order ran although it was refused, or ran twice: %s at %s through %s: %v", id,
			orders[i].At.Format(clockFormat), orders[i].Addr, orders[i].Err))
	}
	return out
}

// versions holds the configuration versions that the VMs showed.
type versions struct {
	highest  map[string]uint64 // by VM, also before its daemon restarted
	accepted uint64            // highest version whose acceptance an operator was told
	reverts  []string
}

// show notes the version that a VM shows. Version 0 means that it is not ready.
func (v *versions) show(vm string, version uint64, at time.Time) {
	if version != 0 && version < v.highest[vm] {
		v.reverts = append(v.reverts, fmt.Sprintf("the configuration of %s went back from version %d to %d at %s", vm,
			v.highest[vm], version, at.Format(clockFormat)))
	}
	if version != 0 {
		v.highest[vm] = version
	}
}
