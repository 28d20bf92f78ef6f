package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/ring"
	"fieldrelay/internal/region/ring/ringtest"
	"fieldrelay/internal/region/settings"
)

// stallingDisk is a disk whose accesses block while it is stalled.
type stallingDisk struct {
	*ringtest.Disk
	mu      sync.Mutex
	stalled chan struct{} // closed when the disk resumes; nil: not stalled
}

func newStallingDisk() *stallingDisk {
	disk := &stallingDisk{Disk: ringtest.NewDisk(rand.New(rand.NewPCG(1, 1)))}
	disk.OnAccess(func(string) {
		disk.mu.Lock()
		stalled := disk.stalled
		disk.mu.Unlock()
		if stalled != nil {
			<-stalled
		}
	})
	return disk
}

func (d *stallingDisk) stall() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stalled = make(chan struct{})
}

func (d *stallingDisk) resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.stalled)
	d.stalled = nil
}

// startLoneNode starts a node that cannot reach any other machine.
func startLoneNode(t *testing.T, disk *stallingDisk) (node *Node, stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	node, err := Start(ctx, Options{
		Settings: &settings.Settings{
			Hostname: "core-0", Address: "127.0.0.1", Zone: "zone-0", Zones: map[string]string{"zone-0": "region"},
			PortRange: []int{1, 3}, Seeds: []string{"10.0.0.2:8146"}, StateDir: t.TempDir(),
		},
		Logger:         zap.NewNop(),
		ControlAddress: "10.0.0.1:8146",
		PeerAddress:    func(string) string { return "" },
		Storage:        disk,
	})
	require.NoError(t, err)
	return node, func() {
		cancel()
		node.Wait()
	}
}

// decidedView is a message of another machine about a decided view, of which this machine is no voter.
func decidedView(number uint64) *pb.Message {
	other := &pb.Replica{Identity: "other", Host: "core-1", ControlAddress: "10.0.0.2:8146", Address: "127.0.0.1:1"}
	members := []*pb.Replica{other}
	view := &pb.View{Number: number, Cluster: "cluster", Voters: members, Chain: members}
	return &pb.Message{From: other, Cluster: "cluster", Body: &pb.Message_Decided{Decided: &pb.Decided{View: view}}}
}

// While the disk is stalled, the loop must go on handling messages, and the writer must continue when the disk
// recovers. The test queues more writes than bounded queues between the loop and the writer would hold; with such
// queues, the loop and the writer would block each other.
func TestAStalledDiskStopsNeitherTheLoopNorTheWriter(t *testing.T) {
	const views = 3 * eventQueueLength
	disk := newStallingDisk()
	node, stop := startLoneNode(t, disk)
	disk.stall()
	for number := uint64(1); number <= views; number++ {
		request := connect.NewRequest(&pb.DeliverRequest{Messages: []*pb.Message{decidedView(number)}})
		_, err := node.Deliver(context.Background(), request)
		require.NoError(t, err, "the loop must accept messages while the disk is stalled: view %d", number)
	}
	atView := func() bool { return node.Status().View.GetNumber() == views }
	require.Eventually(t, atView, 5*time.Second, 5*time.Millisecond, "the loop must handle the messages")
	disk.resume()
	isWritten := func() bool { return node.counters.writes.Load() > 0 && !node.writer.queue.isWaiting() }
	require.Eventually(t, isWritten, 5*time.Second, 5*time.Millisecond, "the writer must continue after the stall")
	stop()

	recovered, stopAgain := startLoneNode(t, disk)
	defer stopAgain()
	require.EqualValues(t, views, recovered.Status().View.GetNumber())
}

func (q *writeQueue) isWaiting() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

func TestWaitingWritesAreJoinedAndASnapshotReplacesThem(t *testing.T) {
	queue := newWriteQueue()
	_, waiting := queue.take()
	require.False(t, waiting)
	queue.put(Persist{Token: 1, Records: testRecords(1)})
	queue.put(Persist{Token: 2, Records: testRecords(2)})
	batch, waiting := queue.take()
	require.True(t, waiting)
	require.Equal(t, Persist{Token: 2, Records: testRecords(1, 2)}, batch)
	queue.put(Persist{Token: 3, Records: testRecords(3)})
	queue.put(Persist{Token: 4, Records: testRecords(4), Snapshot: []byte("all")})
	queue.put(Persist{Token: 5, Records: testRecords(5)})
	batch, _ = queue.take()
	require.Equal(t, Persist{Token: 5, Records: testRecords(5), Snapshot: []byte("all")}, batch)
}

func TestResultsOfWritesComeInTheirOrder(t *testing.T) {
	results := newWriteResults()
	require.Empty(t, results.take())
	results.persisted(1)
	results.persisted(2)
	results.failed()
	results.failed()
	require.Equal(t, []Event{Persisted{Token: 2}, WriteFailed{}}, results.take())
	results.failed()
	results.persisted(3)
	require.Equal(t, []Event{Persisted{Token: 3}}, results.take())
	require.Empty(t, results.take())
}

// testRecords returns records whose payloads are these numbers.
func testRecords(payloads ...byte) []ring.Record {
	var records []ring.Record
	for _, payload := range payloads {
		records = append(records, ring.Record{Kind: 1, Payload: []byte{payload}})
	}
	return records
}
