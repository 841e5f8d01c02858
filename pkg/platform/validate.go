package platform

import (
	"fmt"
	"net"
	"strconv"
)

// Limits of one member. A list with a member beyond them was not written by a member, and what the daemon allocates for a
// member grows with both numbers.
const (
	MaxMemberSlots       = 1 << 12
	MaxMemberConnections = 1 << 16
	MaxSyncReplicas      = 1 << 10
)

// Validate returns an error if the member's entry in a list cannot be used.
func (m Member) Validate() error {
	switch {
	case m.Name == "" || m.Service == "":
		return fmt.Errorf("member or its service has no name")
	case m.Slots < 0 || m.Slots > MaxMemberSlots:
		return fmt.Errorf("member has %d slots; 0 to %d are allowed", m.Slots, MaxMemberSlots)
	case m.Connections < 0 || m.Connections > MaxMemberConnections:
		return fmt.Errorf("member accepts %d connections; 0 to %d are allowed", m.Connections, MaxMemberConnections)
	case m.SyncReplicas < 0 || m.SyncReplicas > MaxSyncReplicas:
		return fmt.Errorf("service writes to %d replicas at once; 0 to %d are allowed", m.SyncReplicas, MaxSyncReplicas)
	}
	if err := ValidateAddr(m.DataAddr); err != nil {
		return fmt.Errorf("data address: %w", err)
	}
	if err := ValidateAddr(m.ControlAddr); err != nil {
		return fmt.Errorf("control address: %w", err)
	}
	return nil
}

// Validate returns an error if the VM's entry in a list cannot be used.
func (v VM) Validate() error {
	if v.Name == "" {
		return fmt.Errorf("VM has no name")
	}
	if err := ValidateAddr(v.PeerAddr); err != nil {
		return fmt.Errorf("peer address: %w", err)
	}
	if err := ValidateAddr(v.AdminAddr); err != nil {
		return fmt.Errorf("admin address: %w", err)
	}
	return nil
}

// ValidateAddr returns an error unless addr is host:port with a port to which a connection can be opened.
func ValidateAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return fmt.Errorf("address %q has no host or no port from 1 to 65535", addr)
	}
	return nil
}
