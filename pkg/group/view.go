package group

import (
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// View is what a Watcher knows about a service. Daemons send views to each other.
type View struct {
	Service string        `msgpack:"s"`
	Term    platform.Term `msgpack:"t"` // of the primary, or the highest term seen while there is no primary
	Primary string        `msgpack:"p"` // member name, "" for none
	Members []MemberView  `msgpack:"m"` // in the order of the service's list
	// Version identifies the content except for positions and ages, which change all the time. It is set only in
	// answers to lookups, and is 0 in those of daemons that predate it.
	Version uint32 `msgpack:"v,omitempty"`
}

// MemberView is what a Watcher knows about a member.
type MemberView struct {
	Name      string          `msgpack:"n"`
	Known     bool            `msgpack:"k"` // a status has been received
	Status    platform.Status `msgpack:"s"` // the last one received
	Reachable bool            `msgpack:"r"`
	Leaving   bool            `msgpack:"l"`
	// Fresh reports whether Age is known.
	Fresh bool `msgpack:"f"`
	// Age bounds how old the member's data is: it is the time since a moment at which the member had applied everything
	// that the primary, confirmed by a majority, held. It is measured when the view is made; a receiver adds the time
	// since then.
	Age time.Duration `msgpack:"a"`
}

// Member returns the entry of the named member. It reports false if the view has none.
func (v View) Member(name string) (MemberView, bool) {
	for _, m := range v.Members {
		if m.Name == name {
			return m, true
		}
	}
	return MemberView{}, false
}

// view returns the current View of the service.
func (s *service) view(now time.Time) View {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := View{Service: s.name, Term: s.term, Members: make([]MemberView, s.listedCount)}
	if s.primary != nil {
		v.Primary = s.primary.info.Name
	}
	for i, m := range s.listed() {
		v.Members[i] = m.view(now)
	}
	return v
}

// view describes the member for a View. The caller holds service.mu.
func (m *member) view(now time.Time) MemberView {
	v := MemberView{
		Name: m.info.Name, Known: m.known, Status: m.status, Reachable: m.reachable(), Leaving: m.leaving(),
		Fresh: !m.freshAt.IsZero(),
	}
	if v.Fresh {
		v.Age = now.Sub(m.freshAt)
	}
	return v
}
