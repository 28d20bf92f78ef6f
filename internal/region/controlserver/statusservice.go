package controlserver

import (
	"context"
	"runtime/debug"
	"time"

	"connectrpc.com/connect"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/registry"
)

// statusService implements the ControlStatus service, which describes this machine to on-call engineers. It makes no
// calls to other machines, so it works while they are unreachable.
type statusService struct{ process *process }

// Describe returns a report as of now.
func (s statusService) Describe(context.Context, *connect.Request[pb.ControlStatusRequest]) (*connect.Response[pb.ControlStatusReport], error) {
	return connect.NewResponse(s.process.report()), nil
}

// report describes the process and its state.
func (p *process) report() *pb.ControlStatusReport {
	status := p.node.Status()
	snapshot := p.soft.Snapshot()
	return &pb.ControlStatusReport{
		Self:           status.Self,
		Software:       buildRevision(),
		UptimeMs:       milliseconds(p.now()),
		View:           status.View,
		Authoritative:  status.Authoritative,
		Live:           status.Live,
		Catalog:        catalogStatus(status.Committed),
		Duty:           p.pollingRoleStatus(snapshot.list),
		MembersSettled: snapshot.converged,
		Lateness:       lagStatus(p.soft.LagStats()),
		Agents:         agentStatuses(snapshot.members.Message(p.now())),
		Orders: &pb.OrderCounters{
			Acknowledged: uint64(p.operatorCounters.Acknowledged.Load()),
			Refused:      uint64(p.operatorCounters.Rejected.Load()),
			Unavailable:  uint64(p.operatorCounters.Unavailable.Load()),
			Lookups:      uint64(p.operatorCounters.Lookups.Load()),
		},
		Coordination: p.coordinationStatus(),
	}
}

// coordinationStatus returns the part of a report about the calls of applications.
func (p *process) coordinationStatus() *pb.CoordinationStatus {
	status := p.node.CoordinationStatus()
	return &pb.CoordinationStatus{
		Epoch:     status.Epoch,
		Registers: uint32(status.Registers),
		Proposing: uint32(status.Proposing),
		Pending:   uint32(status.Pending),
		Watches:   uint32(status.Watches),
		Calls: &pb.CallCounters{
			Executed:    uint64(p.callCounters.Executed.Load()),
			Refused:     uint64(p.callCounters.Refused.Load()),
			NotExecuted: uint64(p.callCounters.NotExecuted.Load()),
			Unknown:     uint64(p.callCounters.Unknown.Load()),
		},
	}
}

// catalogStatus returns the part of a report about the committed control state, nil before the first commit.
func catalogStatus(committed *catalog.Snapshot) *pb.CatalogStatus {
	if committed == nil {
		return nil
	}
	return &pb.CatalogStatus{
		Sequence:       committed.Sequence(),
		Generation:     committed.Generation(),
		Routes:         uint32(len(committed.Items(catalog.KindRoutes))),
		Services:       uint32(len(committed.Items(catalog.KindBackends))),
		EvacuatedZones: committed.EvacuatedZones(),
	}
}

// pollingRoleStatus returns the part of a report about polling the platform. In the protocol the role is called a duty.
func (p *process) pollingRoleStatus(list *registry.ServerList) *pb.PollingRoleStatus {
	role := &pb.PollingRoleStatus{
		Holder:      p.soft.IsOwner(),
		Polls:       uint64(p.pollsSucceeded.Load()),
		PollsFailed: uint64(p.pollsFailed.Load()),
	}
	if list == nil {
		return role
	}
	role.List = list.Version()
	role.ListAgeMs = milliseconds(list.Age(p.now()))
	role.Servers = uint32(list.Len())
	for _, server := range list.Message(p.now()).GetServers() {
		if server.GetDraining() {
			role.Draining++
		}
	}
	return role
}

// agentStatuses returns the status of each edge machine. A machine without contact for registry.FailureTimeout counts
// as lost.
func agentStatuses(members *pb.Members) []*pb.AgentStatus {
	statuses := make([]*pb.AgentStatus, 0, len(members.GetAgents()))
	for _, record := range members.GetAgents() {
		sinceContact := time.Duration(record.GetAgeMs()) * time.Millisecond
		statuses = append(statuses, &pb.AgentStatus{Record: record, Lost: sinceContact >= registry.FailureTimeout})
	}
	return statuses
}

// milliseconds returns a duration in whole milliseconds, 0 for a negative one.
func milliseconds(duration time.Duration) uint64 { return uint64(max(0, duration.Milliseconds())) }

// buildRevision returns the commit that the program was built from, else the version of its module, or "" if neither is
// known.
func buildRevision() string {
	info, known := debug.ReadBuildInfo()
	if !known {
		return ""
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return info.Main.Version
}
