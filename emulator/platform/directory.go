package platform

import (
	"net/http"
	"slices"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// maxListHistory is the number of older list states kept for Faults.ListLag.
const maxListHistory = 1024

// listState is the state of the VM list and the service list at one time. Its slices are never changed in place.
type listState struct {
	vms        []platform.VM
	services   []platform.Service
	replacedAt time.Time // when the next state replaced this one; zero for the current state
}

// listStateAt returns the list state that was current at t, or the oldest one kept. The caller holds s.mu.
func (s *Server) listStateAt(t time.Time) listState {
	for _, d := range s.listHistory {
		if t.Before(d.replacedAt) {
			return d
		}
	}
	return s.currentLists
}

// changeLists replaces the current list state by a copy that f modifies. f returns false when the name is not listed;
// then the lists stay as they are and the error is ErrNoSuchName.
func (s *Server) changeLists(f func(d *listState) bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := listState{vms: cloneVMs(s.currentLists.vms), services: cloneServices(s.currentLists.services)}
	if !f(&next) {
		return ErrNoSuchName
	}
	old := s.currentLists
	old.replacedAt = time.Now()
	s.listHistory = append(s.listHistory, old)
	if len(s.listHistory) > maxListHistory {
		s.listHistory = s.listHistory[1:]
	}
	s.currentLists = next
	return nil
}

// SetVMState changes the state of a listed VM.
func (s *Server) SetVMState(name string, state platform.VMState) error {
	return s.changeLists(func(d *listState) bool {
		i := slices.IndexFunc(d.vms, func(v platform.VM) bool { return v.Name == name })
		if i < 0 {
			return false
		}
		d.vms[i].State = state
		return true
	})
}

// PutVM adds a VM to the list or replaces the VM of the same name.
func (s *Server) PutVM(vm platform.VM) {
	_ = s.changeLists(func(d *listState) bool {
		if i := slices.IndexFunc(d.vms, func(v platform.VM) bool { return v.Name == vm.Name }); i >= 0 {
			d.vms[i] = vm
		} else {
			d.vms = append(d.vms, vm)
		}
		return true
	})
}

// RemoveVM removes a VM from the list.
func (s *Server) RemoveVM(name string) error {
	return s.changeLists(func(d *listState) bool {
		n := len(d.vms)
		d.vms = slices.DeleteFunc(d.vms, func(v platform.VM) bool { return v.Name == name })
		return len(d.vms) < n
	})
}

// SetMemberLeaving changes the leaving flag of a listed member.
func (s *Server) SetMemberLeaving(name string, leaving bool) error {
	return s.changeLists(func(d *listState) bool {
		for _, svc := range d.services {
			for i := range svc.Members {
				if svc.Members[i].Name == name {
					svc.Members[i].Leaving = leaving
					return true
				}
			}
		}
		return false
	})
}

// vmUpdate returns the change that a PUT of a VM makes. A body without a peer address only changes the state.
func (s *Server) vmUpdate(r *http.Request) func(platform.VM) error {
	name := r.PathValue("name")
	return func(vm platform.VM) error {
		if vm.PeerAddr == "" {
			return s.SetVMState(name, vm.State)
		}
		vm.Name = name
		s.PutVM(vm)
		return nil
	}
}

func cloneVMs(in []platform.VM) []platform.VM {
	return append([]platform.VM{}, in...)
}

func cloneServices(in []platform.Service) []platform.Service {
	out := append([]platform.Service{}, in...)
	for i := range out {
		out[i].Members = slices.Clone(out[i].Members)
	}
	return out
}
