package member

import (
	"fmt"
	"net"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// FirstTerm is the term in which the first member of a service starts as the primary.
const FirstTerm = 1

// ServiceOptions apply to all members of a service. Members whose Slots or Connections are zero use the defaults.
type ServiceOptions struct {
	ConnectDelay time.Duration
	Faults       Faults
}

// Service runs all members of one service in this process, for tests.
type Service struct {
	Info    platform.Service // with the addresses of the members filled in
	Members []*Member        // in the order of Info.Members
}

// StartService starts all members of a service on free ports of 127.0.0.1 and fills in their addresses. The first
// member is the primary of FirstTerm, and the others follow it.
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

// OptionsFor returns the options with which member i of a service first starts.
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

// SetTerm changes the initial term. With term 0 the member starts as one that lost its state: fenced, without a term,
// and following no primary.
func (o *Options) SetTerm(term uint64) {
	o.Term = platform.Term(term)
	if term == 0 {
		o.Primary, o.Follow = false, platform.Member{}
	}
}

// NewServiceInfo returns the description of a service with n members in one data centre, as StartService takes it.
func NewServiceInfo(name, database, dataCentre, region string, n, slots, connections int) platform.Service {
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

// listenLoopback returns n listeners on free ports of 127.0.0.1.
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
