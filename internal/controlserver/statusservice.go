package controlserver

import (
	"context"
	"runtime/debug"
	"time"

	"connectrpc.com/connect"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/registry"
)

// statusService tells people on call what this machine knows. It only reads: nothing is asked of other
// machines, so that it answers also while they are gone.
type statusService struct{ process *process }

// Describe returns what the machine knows now.
func (s statusService) Describe(context.Context, *connect.Request[pb.ControlStatusRequest]) (*connect.Response[pb.ControlStatusReport], error) {
	return connect.NewResponse(s.process.report()), nil
}

// report describes the process and what it holds.
func (p *process) report() *pb.ControlStatusReport {
	held := p.node.Status()
	picture := p.soft.Snapshot()
	return &pb.ControlStatusReport{
		Self:           held.Self,
		Software:       buildRevision(),
		UptimeMs:       milliseconds(p.now()),
		View:           held.View,
		Authoritative:  held.Authoritative,
		Live:           held.Live,
		Catalog:        catalogStatus(held.Committed),
		Duty:           p.pollingRoleStatus(picture.list),
		MembersSettled: picture.converged,
		Lateness:       lagStatus(p.soft.LagStats()),
		Agents:         agentStatuses(picture.members.Message(p.now())),
		Orders: &pb.OrderCounters{
			Acknowledged: uint64(p.operatorCounters.Acknowledged.Load()),
			Refused:      uint64(p.operatorCounters.Refused.Load()),
			Unavailable:  uint64(p.operatorCounters.Unavailable.Load()),
			Lookups:      uint64(p.operatorCounters.Lookups.Load()),
		},
	}
}

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

func (p *process) pollingRoleStatus(list *registry.ServerList) *pb.DutyStatus {
	duty := &pb.DutyStatus{
		Holder:      p.soft.IsOwner(),
		Polls:       uint64(p.pollsSucceeded.Load()),
		PollsFailed: uint64(p.pollsFailed.Load()),
	}
	if list == nil {
		return duty
	}
	duty.List = list.Version()
	duty.ListAgeMs = milliseconds(list.Age(p.now()))
	duty.Servers = uint32(list.Len())
	for _, server := range list.Message(p.now()).GetServers() {
		if server.GetDraining() {
			duty.Draining++
		}
	}
	return duty
}

func agentStatuses(members *pb.Members) []*pb.AgentStatus {
	statuses := make([]*pb.AgentStatus, 0, len(members.GetAgents()))
	for _, record := range members.GetAgents() {
		silent := time.Duration(record.GetAgeMs()) * time.Millisecond
		statuses = append(statuses, &pb.AgentStatus{Record: record, Lost: silent >= registry.FailureTimeout})
	}
	return statuses
}

func milliseconds(duration time.Duration) uint64 { return uint64(max(0, duration.Milliseconds())) }

// software names the commit that the program was built from, as far as that is known.
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
