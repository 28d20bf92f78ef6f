package agent

import (
	"slices"
	"strings"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/shuffle"
)

const (
	// lostMemberRetention is how long a proxy that was lost may still be sending: its part of the common bounds isn't given to
	// others before.
	lostMemberRetention = 60 * time.Second
	// maxMembers bounds how many members are remembered.
	maxMembers = 4096
)

// membership is what is known of the edge machines.
type membership struct {
	self          *pb.Neighbour
	source        string // control machine that numbered version
	version       uint64
	received      bool            // a list has been heard
	members       []*pb.Neighbour // of the last list
	lost          map[string]lostMember
	shares        *pb.Shares
	sharesVersion *pb.SharesVersion // of shares
}

// lingerer is a member that the last list doesn't name.
type lostMember struct {
	member    *pb.Neighbour
	expiresAt time.Duration
}

func newMembership(self shuffle.Neighbour, incarnation uint64) membership {
	return membership{
		self:          neighbourMessage(self),
		lost:          make(map[string]lostMember),
		sharesVersion: &pb.SharesVersion{Agent: incarnation},
	}
}

// take learns a list of members and tells whether it was another one than before.
func (m *membership) update(now time.Duration, source string, list *pb.Members) bool {
	if list == nil || m.received && source == m.source && list.GetVersion() == m.version {
		return false
	}
	previous := m.members
	m.source = source
	m.version = list.GetVersion()
	m.received = true
	m.members = currentMembers(list)
	for _, member := range m.members {
		delete(m.lost, member.GetHost())
	}
	for _, member := range previous {
		m.retain(now, member)
	}
	m.updateShares()
	return true
}

// currentMembers are those members that were heard of lately enough to be sending.
func currentMembers(list *pb.Members) []*pb.Neighbour {
	members := make([]*pb.Neighbour, 0, len(list.GetAgents()))
	for _, record := range list.GetAgents() {
		age := time.Duration(record.GetAgeMs()) * time.Millisecond
		if age > lostMemberRetention || record.GetHost() == "" || len(members) == maxMembers {
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
func (m *membership) retain(now time.Duration, member *pb.Neighbour) {
	listed := slices.ContainsFunc(m.members, func(other *pb.Neighbour) bool { return other.GetHost() == member.GetHost() })
	_, retained := m.lost[member.GetHost()]
	if listed || retained || len(m.lost) >= maxMembers {
		return
	}
	m.lost[member.GetHost()] = lostMember{member: member, expiresAt: now + lostMemberRetention}
}

// heard tells that a control machine has answered, whose list is still the one held: those that it doesn't name go
// in time. While no control machine answers nobody goes.
func (m *membership) expireLost(now time.Duration) {
	expired := false
	for host, lingerer := range m.lost {
		if lingerer.expiresAt <= now {
			delete(m.lost, host)
			expired = true
		}
	}
	if expired {
		m.updateShares()
	}
}

// rebuild makes the shares anew.
func (m *membership) updateShares() {
	members := slices.Clone(m.members)
	for _, lingerer := range m.lost {
		members = append(members, lingerer.member)
	}
	if !slices.ContainsFunc(members, func(other *pb.Neighbour) bool { return other.GetHost() == m.self.GetHost() }) {
		members = append(members, m.self)
	}
	slices.SortFunc(members, func(a, b *pb.Neighbour) int { return strings.Compare(a.GetHost(), b.GetHost()) })
	if m.shares != nil && slices.EqualFunc(m.shares.GetMembers(), members, sameMember) {
		return
	}
	m.sharesVersion = &pb.SharesVersion{Agent: m.sharesVersion.GetAgent(), Revision: m.sharesVersion.GetRevision() + 1}
	m.shares = &pb.Shares{Proxies: uint32(len(members)), Members: members, Version: m.sharesVersion}
}

func sameMember(a, b *pb.Neighbour) bool {
	return a.GetHost() == b.GetHost() &&
		a.GetZone() == b.GetZone() &&
		a.GetRegion() == b.GetRegion() &&
		a.GetAddress() == b.GetAddress()
}

// neighbours are the members of the last list, for the partial view.
func (m *membership) neighbours() []shuffle.Neighbour { return neighboursFromMessages(m.members) }
