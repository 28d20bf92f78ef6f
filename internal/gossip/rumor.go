package gossip

import (
	"time"

	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/shuffle"
)

// pushed takes a neighbour's news and passes it on if it is news here.
func (m *Machine) receivePush(now time.Duration, push PushRequested) []Action {
	actions := m.applyUpdate(now, push.From.Host, UpdateReceived{Changes: push.Changes, List: push.List})
	if last := len(push.Changes) - 1; last >= 0 {
		m.observeVersion(now, push.From, push.Changes[last].GetSequence(), nil)
	}
	reply := PushReply{Sequence: m.replica.Sequence(), List: m.replica.ListVersion()}
	return append(actions, reply)
}

// spread pushes small news and announces the rest.
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

// updateSize is the size of news in bytes, or one above maxPushSize.
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

// pick takes neighbours at random, none of them the host except.
func (m *Machine) pickNeighbours(count int, except string) []shuffle.Neighbour {
	neighbours := m.view.Neighbours()
	picked := make([]shuffle.Neighbour, 0, count)
	for _, i := range m.random.Perm(len(neighbours)) {
		if len(picked) == count {
			break
		}
		if neighbours[i].Host != except {
			picked = append(picked, neighbours[i])
		}
	}
	return picked
}
