package gossip

import (
	"time"

	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/shuffle"
)

// answerPush applies a neighbour's push, forwards its new parts, and replies with this agent's versions. If the changes
// do not directly follow the replica's sequence, the last sequence of the push counts as announced.
func (m *Machine) answerPush(now time.Duration, push PushRequested) []Action {
	actions := m.applyUpdate(now, push.From.Host, UpdateReceived{Changes: push.Changes, List: push.List})
	if last := len(push.Changes) - 1; last >= 0 {
		m.observeVersion(now, push.From, push.Changes[last].GetSequence(), nil)
	}
	reply := PushReply{Sequence: m.replica.Sequence(), List: m.replica.ListVersion()}
	return append(actions, reply)
}

// disseminate pushes a small update to random neighbours, or announces a large update or a repair to them. The host
// from, the source of the update, is excluded.
func (m *Machine) disseminate(from string, applied []*pb.Change, repaired bool, list *pb.ServerList) []Action {
	small := !repaired && updateSize(applied, list) <= maxPushSize
	var actions []Action
	for _, neighbour := range m.pickNeighbours(Fanout, from) {
		if small {
			actions = append(actions, Push{To: neighbour, Changes: applied, List: list})
		} else {
			actions = append(actions, m.versionComparison(neighbour))
		}
	}
	return actions
}

// updateSize returns the size of an update in bytes. If the size exceeds maxPushSize, the result may be any size above
// maxPushSize.
func updateSize(changes []*pb.Change, list *pb.ServerList) int {
	size := 0
	for _, change := range changes {
		size += proto.Size(change)
		if size > maxPushSize {
			return size
		}
	}
	if list != nil {
		size += proto.Size(list)
	}
	return size
}

// pickNeighbours returns up to count random neighbours, without the host excluded.
func (m *Machine) pickNeighbours(count int, excluded string) []shuffle.Neighbour {
	neighbours := m.view.Neighbours()
	picked := make([]shuffle.Neighbour, 0, count)
	for _, index := range m.random.Perm(len(neighbours)) {
		if len(picked) == count {
			break
		}
		if neighbours[index].Host != excluded {
			picked = append(picked, neighbours[index])
		}
	}
	return picked
}
