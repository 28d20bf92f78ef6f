package agent

import (
	"slices"
	"strings"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/shuffle"
)

const (
	// lingerFor is how long a proxy that was lost may still be sending: its part of the common bounds isn't given to
	// others before.
	lingerFor = 60 * time.Second
	// maxMembers bounds how many members are remembered.
	maxMembers = 4096
)

// membership is what is known of the edge machines.
type membership struct {
	self      *pb.Neighbour
	source    string // control machine that numbered version
	version   uint64
	known     bool            // a list has been heard
	current   []*pb.Neighbour // of the last list
	lingering map[string]lingerer
	shares    *pb.Shares
	told      *pb.SharesVersion // of shares
}

// lingerer is a member that the last list doesn't name.
type lingerer struct {
	member *pb.Neighbour
	until  time.Duration
}

func newMembership(self shuffle.Neighbour, incarnation uint64) membership {
	return membership{
		self:      toMessage(self),
		lingering: make(map[string]lingerer),
		told:      &pb.SharesVersion{Agent: incarnation},
	}
}

// take learns a list of members and tells whether it was another one than before.
func (m *membership) take(now time.Duration, source string, list *pb.Members) bool {
	if list == nil || m.known && source == m.source && list.GetVersion() == m.version {
		return false
	}
	before := m.current
	m.source = source
	m.version = list.GetVersion()
	m.known = true
	m.current = currentMembers(list)
	for _, member := range m.current {
		delete(m.lingering, member.GetHost())
	}
	for _, member := range before {
		m.linger(now, member)
	}
	m.rebuild()
	return true
}

// currentMembers are those members that were heard of lately enough to be sending.
func currentMembers(list *pb.Members) []*pb.Neighbour {
	members := make([]*pb.Neighbour, 0, len(list.GetAgents()))
	for _, record := range list.GetAgents() {
		age := time.Duration(record.GetAgeMs()) * time.Millisecond
		if age > lingerFor || record.GetHost() == "" || len(members) == maxMembers {
			continue
		}
		members = append(members, &pb.Neighbour{
			Host:    record.GetHost(),
			Address: record.GetAgentAddress(),
			Zone:    record.GetZone(),
			Region:  record.GetRegion(),
		})
	}
	return members
}

// linger keeps a member that the present list doesn't name.
func (m *membership) linger(now time.Duration, member *pb.Neighbour) {
	named := slices.ContainsFunc(m.current, func(other *pb.Neighbour) bool { return other.GetHost() == member.GetHost() })
	_, kept := m.lingering[member.GetHost()]
	if named || kept || len(m.lingering) >= maxMembers {
		return
	}
	m.lingering[member.GetHost()] = lingerer{member: member, until: now + lingerFor}
}

// heard tells that a control machine has answered, whose list is still the one held: those that it doesn't name go
// in time. While no control machine answers nobody goes.
func (m *membership) heard(now time.Duration) {
	expired := false
	for host, lingerer := range m.lingering {
		if lingerer.until <= now {
			delete(m.lingering, host)
			expired = true
		}
	}
	if expired {
		m.rebuild()
	}
}

// rebuild makes the shares anew.
func (m *membership) rebuild() {
	members := slices.Clone(m.current)
	for _, lingerer := range m.lingering {
		members = append(members, lingerer.member)
	}
	if !slices.ContainsFunc(members, func(other *pb.Neighbour) bool { return other.GetHost() == m.self.GetHost() }) {
		members = append(members, m.self)
	}
	slices.SortFunc(members, func(a, b *pb.Neighbour) int { return strings.Compare(a.GetHost(), b.GetHost()) })
	if m.shares != nil && slices.EqualFunc(m.shares.GetMembers(), members, sameMember) {
		return
	}
	m.told = &pb.SharesVersion{Agent: m.told.GetAgent(), Revision: m.told.GetRevision() + 1}
	m.shares = &pb.Shares{Proxies: uint32(len(members)), Members: members, Version: m.told}
}

func sameMember(a, b *pb.Neighbour) bool {
	return a.GetHost() == b.GetHost() &&
		a.GetZone() == b.GetZone() &&
		a.GetRegion() == b.GetRegion() &&
		a.GetAddress() == b.GetAddress()
}

// neighbours are the members of the last list, for the partial view.
func (m *membership) neighbours() []shuffle.Neighbour { return fromMessages(m.current) }
