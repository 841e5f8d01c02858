package member

import (
	"fmt"
	"net"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// FirstTerm is the term in which the first member of a service starts as the primary.
const FirstTerm = 1

// ServiceOptions apply to all members of a service in one process. Zero Slots and Connections of a member select
// the defaults.
type ServiceOptions struct {
	ConnectDelay time.Duration
	Faults       Faults
}

// Service is a service whose members run in this process, for tests.
type Service struct {
	Info    platform.Service // with the addresses filled in
	Members []*Member        // in the order of Info.Members
}

// StartService starts all members of a service on free ports of 127.0.0.1 and fills in their addresses. Member 0 is
// the primary of FirstTerm, the others follow it.
func StartService(info platform.Service, o ServiceOptions) (*Service, error) {
	s := &Service{Info: info}
	s.Info.Members = append([]platform.Member(nil), info.Members...)
	listeners, err := listenLoopback(2 * len(info.Members))
	if err != nil {
		return nil, err
	}
	for i := range s.Info.Members {
		m := &s.Info.Members[i]
		m.DataAddr, m.ControlAddr = listeners[2*i].Addr().String(), listeners[2*i+1].Addr().String()
	}
	for i := range s.Info.Members {
		m, err := Start(OptionsFor(s.Info, i, listeners[2*i], listeners[2*i+1], o))
		if err != nil {
			s.Close()
			return nil, err
		}
		s.Members = append(s.Members, m)
	}
	return s, nil
}

// OptionsFor returns the options of member i of a service at its start.
func OptionsFor(info platform.Service, i int, data, control net.Listener, o ServiceOptions) Options {
	m := info.Members[i]
	f := o.Faults
	f.Leaving = f.Leaving || m.Leaving
	out := Options{
		Name: m.Name, Data: data, Control: control, Slots: m.Slots, Connections: m.Connections,
		ConnectDelay: o.ConnectDelay, Faults: f, Term: FirstTerm, Primary: i == 0,
	}
	if i > 0 {
		out.Follow = info.Members[0]
	}
	return out
}

// SetTerm changes the initial term. Term 0 starts the member as one that lost its state: fenced, in no term, following
// nobody.
func (o *Options) SetTerm(term uint64) {
	o.Term = platform.Term(term)
	if term == 0 {
		o.Primary, o.Follow = false, platform.Member{}
	}
}

// NewService returns the description of a service with n members, for StartService. All have the given data centre.
func NewService(name, database, dataCentre, region string, n, slots, connections int) platform.Service {
	s := platform.Service{Name: name, Database: database}
	for i := range n {
		s.Members = append(s.Members, platform.Member{
			Name: fmt.Sprintf("%s.%c", name, 'a'+i), Service: name, DataCentre: dataCentre, Region: region,
			Slots: slots, Connections: connections,
		})
	}
	return s
}

// Close stops all members.
func (s *Service) Close() {
	for _, m := range s.Members {
		m.Close()
	}
}

func listenLoopback(n int) ([]net.Listener, error) {
	var out []net.Listener
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			for _, l := range out {
				_ = l.Close()
			}
			return nil, err
		}
		out = append(out, l)
	}
	return out, nil
}
