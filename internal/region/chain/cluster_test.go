package chain

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
)

func replicaNamed(name string) *pb.Replica {
	return &pb.Replica{Host: "host-" + name, Identity: name, Zone: "zone-" + name}
}

func replicasNamed(names ...string) []*pb.Replica {
	var replicas []*pb.Replica
	for _, name := range names {
		replicas = append(replicas, replicaNamed(name))
	}
	return replicas
}

func viewNamed(number uint64, voters []string, chain ...string) *pb.View {
	return &pb.View{Number: number, Voters: replicasNamed(voters...), Chain: replicasNamed(chain...)}
}

// cluster is a set of replicas. Their messages are queued until a test delivers them, their writes until it persists
// them.
type cluster struct {
	t           *testing.T
	replicas    map[string]*Replica
	disks       map[string][]Write
	unpersisted map[string][][]Write
	messages    []OutgoingMessage
	partitioned map[string]bool // machines that can neither send nor receive
	heldBack    []*pb.Message   // messages that holdBack has withheld
	holdBack    func(*pb.Message) bool
}

// newCluster returns replicas with empty disks and no view.
func newCluster(t *testing.T, names ...string) *cluster {
	t.Helper()
	c := &cluster{
		t:           t,
		replicas:    make(map[string]*Replica),
		disks:       make(map[string][]Write),
		unpersisted: make(map[string][][]Write),
		partitioned: make(map[string]bool),
	}
	for index, name := range names {
		c.replicas[name] = NewReplica(name, EmptyState(), uint64(index+1)*1000)
	}
	return c
}

// collect queues the messages and writes in the output of a replica.
func (c *cluster) collect(name string, output Output) {
	for _, outgoing := range output.Messages {
		outgoing.Message.From = replicaNamed(name)
		if c.holdBack != nil && c.holdBack(outgoing.Message) {
			c.heldBack = append(c.heldBack, outgoing.Message)
			continue
		}
		c.messages = append(c.messages, outgoing)
	}
	if len(output.Writes) > 0 {
		c.unpersisted[name] = append(c.unpersisted[name], output.Writes)
	}
}

// persist completes the writes of a replica, oldest first.
func (c *cluster) persist(name string) {
	for len(c.unpersisted[name]) > 0 {
		c.disks[name] = append(c.disks[name], c.unpersisted[name][0]...)
		c.unpersisted[name] = c.unpersisted[name][1:]
		c.collect(name, c.replicas[name].WritesPersisted())
	}
}

func (c *cluster) deliver(to string, message *pb.Message) {
	c.collect(to, handle(c.replicas[to], message))
}

// handle passes a message to the method of the replica for its type.
func handle(to *Replica, message *pb.Message) Output {
	from := message.GetFrom()
	switch body := message.GetBody().(type) {
	case *pb.Message_Append:
		return to.Append(from, body.Append)
	case *pb.Message_Acknowledge:
		return to.Acknowledged(from, body.Acknowledge)
	case *pb.Message_SyncRequest:
		return to.SyncRequest(message)
	case *pb.Message_SyncResponse:
		return to.SyncResponse(from, body.SyncResponse)
	}
	return Output{}
}

// runUntilQuiet persists and delivers until nothing is pending.
func (c *cluster) runUntilQuiet(names ...string) {
	for step := 0; step < 1000; step++ {
		for _, name := range names {
			c.persist(name)
		}
		if len(c.messages) == 0 {
			return
		}
		next := c.messages[0]
		c.messages = c.messages[1:]
		to := next.To.GetIdentity()
		if !c.partitioned[to] && !c.partitioned[next.Message.GetFrom().GetIdentity()] {
			c.deliver(to, next.Message)
		}
	}
	require.Fail(c.t, "the replicas still send messages after 1000 steps")
}

func (c *cluster) adopt(view *pb.View, names ...string) {
	for _, name := range names {
		c.collect(name, c.replicas[name].Adopt(view))
	}
}

func (c *cluster) tick(times int, names ...string) {
	for range times {
		for _, name := range names {
			c.collect(name, c.replicas[name].Tick())
		}
		c.runUntilQuiet(names...)
	}
}

// restart starts a new run of a replica from the state on its disk. Unpersisted writes are lost.
func (c *cluster) restart(name string, incarnation uint64) {
	c.unpersisted[name] = nil
	c.replicas[name] = NewReplica(name, c.disk(name), incarnation)
}

// disk returns the state that results from the writes on a replica's disk.
func (c *cluster) disk(name string) State {
	state := EmptyState()
	for _, write := range c.disks[name] {
		require.NoError(c.t, state.Apply(write))
	}
	return state
}

// change returns the next change after a replica's newest state. It writes one item.
func (c *cluster) change(name, content string) *pb.Change {
	newest := c.replicas[name].Newest()
	sequence := newest.Sequence() + 1
	return &pb.Change{Sequence: sequence, Generation: sequence, Upserts: []*pb.Item{
		{Kind: catalog.KindSetting, Name: content, Order: 1, Sequence: sequence, Body: []byte(`"` + content + `"`)},
	}}
}

func (c *cluster) propose(name, content string) {
	require.True(c.t, c.replicas[name].AcceptsProposals(), "%s accepts a change", name)
	output, err := c.replicas[name].Propose(c.change(name, content))
	require.NoError(c.t, err)
	c.collect(name, output)
}

// describe returns the sequence and the names of the items of a state.
func describe(snapshot *catalog.Snapshot) string {
	if snapshot == nil {
		return "nothing"
	}
	line := fmt.Sprint(snapshot.Sequence())
	for _, item := range snapshot.Items(catalog.KindSetting) {
		line += " " + item.GetName()
	}
	return line
}

func (c *cluster) requireCommitted(want string, names ...string) {
	for _, name := range names {
		require.Equal(c.t, want, describe(c.replicas[name].Committed()), "committed at %s", name)
	}
}

func (c *cluster) requireNewest(want string, names ...string) {
	for _, name := range names {
		require.Equal(c.t, want, describe(c.replicas[name].Newest()), "newest at %s", name)
	}
}
