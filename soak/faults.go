package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/emulator/demo"
	"github.com/sycamorehub/sycamorehub/emulator/launch"
	emember "github.com/sycamorehub/sycamorehub/emulator/member"
	"github.com/sycamorehub/sycamorehub/emulator/netfault"
	eplatform "github.com/sycamorehub/sycamorehub/emulator/platform"
	"github.com/sycamorehub/sycamorehub/emulator/topology"
	"github.com/sycamorehub/sycamorehub/examples"
	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

const (
	readyWait    = 3 * time.Second  // for a started daemon, until other steps may affect its VM
	applyTimeout = 15 * time.Second // of one change of the configuration
)

// runSteps runs each step at its time and waits until all have ended.
func (r *run) runSteps(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range r.steps {
		wg.Go(func() {
			pause(ctx, time.Until(r.start.Add(s.at)))
			if ctx.Err() != nil {
				return
			}
			r.logf("begin %v", s)
			if err := r.runStep(ctx, s); err != nil {
				r.skipf("step failed: %v: %v", s, err)
			}
			r.logf("end   %v", s)
		})
	}
	wg.Wait()
}

func (r *run) runStep(ctx context.Context, s step) error {
	switch s.kind {
	case stopVM, stopVMTwice, stopVMAgain, killVM, freezeVM:
		return r.forVMs(s, func(vm string) error { return r.runOnVM(ctx, s, vm) })
	case isolate:
		return r.hold(ctx, s, func() error { r.network.Isolate(s.from); return nil }, func() error { r.network.Rejoin(s.from); return nil })
	case delayLink, resetLink, silenceLink, cutLink, turnedAway:
		return r.runOnLink(ctx, s)
	case slowStore:
		return r.faultStore(ctx, s, eplatform.Faults{Latency: topology.Ms(s.variant), AnswerLatency: topology.Ms(s.variant)})
	case downStore:
		return r.faultStore(ctx, s, eplatform.Faults{StoreOutage: true, ListOutage: true, Silent: s.flag})
	case loseAnswers:
		return r.faultStore(ctx, s, eplatform.Faults{DropAnswers: eplatform.DropAll})
	case freezePrimary, freezeReplica, killPrimary, lagReplica:
		return r.runOnMember(ctx, s)
	case changeConfig:
		return r.applyConfig(ctx, s.vms[0])
	}
	return fmt.Errorf("unknown kind %q", s.kind)
}

// hold begins a fault, waits for the length of the step and ends the fault.
func (r *run) hold(ctx context.Context, s step, begin, end func() error) error {
	if err := begin(); err != nil {
		return err
	}
	pause(ctx, s.length)
	return end()
}

// forVMs calls f for all VMs of a step at once. A VM on which another step is still in progress is left out.
func (r *run) forVMs(s step, f func(vm string) error) error {
	var wg sync.WaitGroup
	for _, vm := range s.vms {
		if !r.claimVM(vm) {
			r.skipf("left out of %q, since another step is in progress there: %s", s.kind, vm)
			continue
		}
		wg.Go(func() {
			defer r.releaseVM(vm)
			if err := f(vm); err != nil {
				r.skipf("%s of %s failed: %v", s.kind, vm, err)
			}
		})
	}
	wg.Wait()
	return nil
}

func (r *run) claimVM(vm string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.vmBusy[vm] {
		return false
	}
	r.vmBusy[vm] = true
	return true
}

func (r *run) releaseVM(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.vmBusy, vm)
}

func (r *run) runOnVM(ctx context.Context, s step, vm string) error {
	p := r.cluster.Daemon(vm)
	if !p.Alive() {
		r.violationf("%s has ended by itself:\n%s", vm, p.Output())
		return r.startVM(ctx, vm)
	}
	switch s.kind {
	case freezeVM:
		return r.hold(ctx, s, p.Freeze, p.Resume)
	case killVM:
		k := kill{vm: vm, addr: r.callerAddr(vm), at: time.Now()}
		p.Kill()
		k.gone = time.Now()
		r.mu.Lock()
		r.kills = append(r.kills, k)
		r.mu.Unlock()
		pause(ctx, s.variant)
		return r.startVM(ctx, vm)
	case stopVMTwice:
		second := time.AfterFunc(s.variant, func() { _ = p.Terminate() })
		defer second.Stop()
	}
	r.stopVM(p, vm, false)
	if s.kind == stopVMAgain {
		if err := r.startDaemon(vm); err != nil {
			return err
		}
		pause(ctx, s.variant)
		r.stopVM(r.cluster.Daemon(vm), vm, r.ready(ctx, vm) != nil)
	}
	return r.startVM(ctx, vm)
}

// stopVM stops a daemon with SIGTERM and records the stop.
func (r *run) stopVM(p *launch.Process, vm string, beforeReady bool) {
	st := stop{vm: vm, addr: r.callerAddr(vm), sent: time.Now(), beforeReady: beforeReady}
	st.err = p.Stop(drainLimit + closeLimit + stopSlack)
	st.ended = time.Now()
	r.logf("%s stopped after %v: %v", vm, st.ended.Sub(st.sent), st.err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops = append(r.stops, st)
}

func (r *run) callerAddr(vm string) string {
	v, _ := r.cluster.VM(vm)
	return v.CallerAddr
}

// ready returns nil if the VM is ready now.
func (r *run) ready(ctx context.Context, vm string) error {
	v, err := r.cluster.VM(vm)
	if err != nil {
		return err
	}
	return callJSON(ctx, http.MethodGet, "http://"+v.AdminAddr+"/readyz", nil, nil)
}

func (r *run) startDaemon(vm string) error {
	if err := r.cluster.StartDaemon(vm); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processes = append(r.processes, r.cluster.Daemon(vm))
	return nil
}

// startVM starts the daemon of a VM and waits for a while until it is ready. With other faults around it may not be.
func (r *run) startVM(ctx context.Context, vm string) error {
	if err := r.startDaemon(vm); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for r.ready(ctx, vm) != nil && ctx.Err() == nil {
		pause(ctx, versionInterval)
	}
	return nil
}

func (r *run) runOnLink(ctx context.Context, s step) error {
	to := s.to
	if s.kind == turnedAway {
		to = netfault.Store
	}
	link := r.network.Link(s.from, to)
	switch {
	case s.kind == resetLink:
		for end := time.Now().Add(s.length); time.Now().Before(end) && ctx.Err() == nil; pause(ctx, s.variant) {
			link.Reset()
		}
		return nil
	case s.kind == silenceLink:
		link.Silence()
		return nil
	case s.kind == delayLink:
		delay := link.Delay()
		return r.hold(ctx, s, func() error { link.SetDelay(delay + s.variant); return nil }, func() error { link.SetDelay(delay); return nil })
	}
	return r.hold(ctx, s, func() error { link.Cut(); return nil }, func() error { link.Heal(); return nil })
}

// faultStore gives the stand-in of the platform the faults for the length of the step.
func (r *run) faultStore(ctx context.Context, s step, f eplatform.Faults) error {
	url := "http://" + r.cluster.Topology.PlatformAddr + eplatform.PathFaults
	return r.hold(ctx, s, func() error { return callJSON(ctx, http.MethodPut, url, f, nil) },
		func() error { return callJSON(ctx, http.MethodPut, url, eplatform.Faults{}, nil) })
}

// runOnMember runs a step on the primary, or on the first other member that runs.
func (r *run) runOnMember(ctx context.Context, s step) error {
	members := r.cluster.Topology.Services[0].Members
	addrs, err := demo.Primaries(ctx, r.cluster)
	if err != nil {
		return err
	}
	var target platform.Member
	for _, m := range members {
		isPrimary := m.DataAddr == addrs[0]
		if isPrimary == (s.kind == freezePrimary || s.kind == killPrimary) && r.cluster.Members[m.Name].Alive() {
			target = m
		}
	}
	r.logf("%s: %s", s.kind, target.Name)
	p := r.cluster.Members[target.Name]
	url := "http://" + target.ControlAddr + emember.PathFaults
	switch s.kind {
	case lagReplica:
		f := emember.Faults{Lag: topology.Ms(s.variant)}
		if err := r.serviceTime(&f); err != nil {
			return err
		}
		none := f
		none.Lag = 0
		return r.hold(ctx, s, func() error { return callJSON(ctx, http.MethodPut, url, f, nil) },
			func() error { return callJSON(ctx, http.MethodPut, url, none, nil) })
	case killPrimary:
		p.Kill()
		if s.flag {
			return nil
		}
		pause(ctx, s.length)
		return r.cluster.StartMember(target, "--primary-term=0", "--service-time", memberService) // empty, since it keeps nothing
	}
	return r.hold(ctx, s, p.Freeze, p.Resume)
}

// serviceTime sets the service time that the members started with, which a change of their faults replaces.
func (r *run) serviceTime(f *emember.Faults) error {
	d, err := time.ParseDuration(memberService)
	f.ServiceTime = topology.Ms(d)
	return err
}

// applyConfig applies the next version of the configuration through a VM.
func (r *run) applyConfig(ctx context.Context, vm string) error {
	r.mu.Lock()
	base := r.versions.highest[vm]
	r.mu.Unlock()
	path, err := r.writeConfig(base + 1)
	if err != nil {
		return err
	}
	v, err := r.cluster.VM(vm)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	out, err := exec.CommandContext(ctx, filepath.Join(r.cluster.BinDir, "sycamorehubctl"), "--server", v.AdminAddr,
		"config", "apply", "--if-version", fmt.Sprint(base), path).CombinedOutput()
	r.logf("config apply on version %d through %s: %v %s", base, vm, err, out)
	if err == nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.configs++
		r.versions.accepted = max(r.versions.accepted, base+1)
	}
	return nil
}

// writeConfig writes a version of the configuration to a file and returns its path. Each version has a class of its own.
func (r *run) writeConfig(version uint64) (string, error) {
	doc, err := clusterconfig.Parse(examples.Kitakata)
	if err != nil {
		return "", err
	}
	added := doc.Classes[0]
	added.Name = fmt.Sprintf("added-%d", version)
	doc.Classes = append(doc.Classes, added)
	raw, err := json.Marshal(doc)
	if err != nil {
		return "", err
	}
	path := filepath.Join(r.cluster.Dir, fmt.Sprintf("config-%d-%d.json", version, time.Now().UnixNano()))
	return path, os.WriteFile(path, raw, fileMode)
}
