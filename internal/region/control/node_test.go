package control

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/api/fieldrelay/v1/fieldrelayv1connect"
	"fieldrelay/api/operator"
	"fieldrelay/internal/region/quorum"
	"fieldrelay/internal/region/ring/ringtest"
	"fieldrelay/internal/region/settings"
)

// testMachine is one control machine on the loopback interface.
type testMachine struct {
	settings       *settings.Settings
	controlAddress string
	listener       net.Listener
	disk           *ringtest.Disk // nil: the ring is in the state folder
	node           *Node
	stop           func()
}

// clusterSize is the number of machines of a testCluster.
const clusterSize = 3

// testCluster is a set of control machines, all of which are seeds.
type testCluster struct {
	t        *testing.T
	machines []*testMachine
	peers    map[string]string // peer address by operator API address
}

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	return newTestClusterOn(t, func(int) *ringtest.Disk { return nil })
}

// newTestClusterOn starts a cluster on the given disks.
func newTestClusterOn(t *testing.T, diskOf func(index int) *ringtest.Disk) *testCluster {
	t.Helper()
	cluster := &testCluster{t: t, peers: make(map[string]string)}
	var seeds []string
	for index := range clusterSize {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		port := listener.Addr().(*net.TCPAddr).Port
		control := fmt.Sprintf("10.0.0.%d:8146", index+1)
		seeds = append(seeds, control)
		cluster.peers[control] = listener.Addr().String()
		zone := "zone-" + strconv.Itoa(index)
		cluster.machines = append(cluster.machines, &testMachine{
			controlAddress: control,
			listener:       listener,
			disk:           diskOf(index),
			settings: &settings.Settings{
				Hostname:    "core-" + strconv.Itoa(index),
				Address:     "127.0.0.1",
				Zone:        zone,
				Zones:       map[string]string{zone: "region"},
				PortRange:   []int{port, port + 2},
				Bootstrap:   true,
				StateDir:    t.TempDir(),
				FaultBudget: settings.FaultBudget{Hosts: 1, Zones: 1},
				Bounds:      settings.Bounds{RetainS: 20},
			},
		})
	}
	for _, machine := range cluster.machines {
		machine.settings.Seeds = seeds
		cluster.start(machine)
	}
	t.Cleanup(func() {
		for _, machine := range cluster.machines {
			machine.stop()
		}
	})
	return cluster
}

func (c *testCluster) start(machine *testMachine) {
	ctx, cancel := context.WithCancel(context.Background())
	options := Options{
		Settings:       machine.settings,
		Logger:         zap.NewNop(),
		ControlAddress: machine.controlAddress,
		PeerAddress:    func(seed string) string { return c.peers[seed] },
	}
	if machine.disk != nil {
		options.Storage = machine.disk
	}
	node, err := Start(ctx, options)
	require.NoError(c.t, err)
	machine.node = node
	if machine.listener == nil {
		machine.listener, err = net.Listen("tcp", c.peers[machine.controlAddress])
		require.NoError(c.t, err)
	}
	mux := http.NewServeMux()
	mux.Handle(fieldrelayv1connect.NewControlPeerHandler(node))
	server := &http.Server{Handler: mux}
	listener := machine.listener
	go func() { _ = server.Serve(listener) }()
	machine.stop = func() {
		cancel()
		_ = server.Close()
		node.Wait()
		machine.listener = nil
	}
}

// await waits until the status of a node satisfies a condition.
func (c *testCluster) await(machine *testMachine, limit time.Duration, wanted func(Status) bool) {
	deadline := time.After(limit)
	for {
		changed := machine.node.Changed()
		if wanted(machine.node.Status()) {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			require.FailNow(c.t, "status not reached in time", "%+v", machine.node.Status())
		}
	}
}

// order submits an order repeatedly until the answer is not 503, for up to five seconds.
func (c *testCluster) order(machine *testMachine, order *pb.Order) *pb.OrderResult {
	deadline := time.Now().Add(5 * time.Second)
	for {
		changed := machine.node.Changed()
		result := machine.node.Submit(context.Background(), order)
		if result.GetStatus() != http.StatusServiceUnavailable || time.Now().After(deadline) {
			return result
		}
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func replaceOrder(base, generation uint64) *pb.Order {
	body := fmt.Sprintf(`{"gen":%d,"routes":[{"name":"r","vhost":"h.example","path-prefix":"/%d/","deadline-ms":5,"backend":"b"}],"backends":[{"name":"b"}]}`, generation, generation)
	return &pb.Order{Kind: pb.Order_KIND_REPLACE, Base: base, Body: []byte(body)}
}

func authoritative(status Status) bool { return status.Authoritative }

func TestThreeNodesFoundTakeOrdersAndReadThemBack(t *testing.T) {
	cluster := newTestCluster(t)
	began := time.Now()
	for _, machine := range cluster.machines {
		cluster.await(machine, 5*time.Second, authoritative)
	}
	t.Logf("bootstrapped after %v", time.Since(began))
	began = time.Now()
	first := replaceOrder(0, 3)
	require.EqualValues(t, 200, cluster.order(cluster.machines[1], first).GetStatus())
	t.Logf("acknowledged after %v", time.Since(began))
	for _, machine := range cluster.machines {
		require.EqualValues(t, 200, cluster.order(machine, first).GetStatus(), "the same order must be acknowledged again")
		read := cluster.order(machine, &pb.Order{Kind: pb.Order_KIND_READ})
		require.EqualValues(t, 200, read.GetStatus())
		require.JSONEq(t, string(first.GetBody()), string(read.GetBody()))
	}
	require.EqualValues(t, 412, cluster.order(cluster.machines[2], replaceOrder(2, 5)).GetStatus())
	require.EqualValues(t, 400, cluster.order(cluster.machines[2], replaceOrder(3, 3)).GetStatus())
	require.EqualValues(t, 200, cluster.order(cluster.machines[0], &pb.Order{Kind: pb.Order_KIND_EVACUATE_BEGIN, Zone: "zone-1"}).GetStatus())
	for _, machine := range cluster.machines {
		cluster.await(machine, 5*time.Second, func(status Status) bool {
			return status.Committed.Evacuated("zone-1")
		})
	}
}

func TestRejectionOfAnInvalidOrderListsEveryFault(t *testing.T) {
	cluster := newTestCluster(t)
	invalid := &pb.Order{Kind: pb.Order_KIND_REPLACE, Body: []byte(`{"gen":3,"backends":[{"name":"b"}],"routes":[
		{"name":"slow","vhost":"h.example","path-prefix":"/a/","deadline-ms":0,"backend":"b"},
		{"name":"lost","vhost":"h.example","path-prefix":"/b/","deadline-ms":5,"backend":"none"}]}`)}
	result := cluster.order(cluster.machines[1], invalid)
	require.EqualValues(t, http.StatusBadRequest, result.GetStatus())
	var body operator.Refusal
	require.NoError(t, json.Unmarshal(result.GetBody(), &body))
	require.Equal(t, "invalid", body.Error.Code)
	var places []string
	for _, fault := range *body.Error.Faults {
		places = append(places, *fault.Item+" "+*fault.Field)
	}
	require.ElementsMatch(t, []string{"routes/slow deadline-ms", "routes/lost backend"}, places)
}

func TestAllNodesStoppedAtOnceResume(t *testing.T) {
	cluster := newTestCluster(t)
	order := replaceOrder(0, 3)
	require.EqualValues(t, 200, cluster.order(cluster.machines[0], order).GetStatus())
	for _, machine := range cluster.machines {
		machine.stop()
	}
	began := time.Now()
	for _, machine := range cluster.machines {
		machine.settings.Bootstrap = false
		cluster.start(machine)
	}
	read := cluster.order(cluster.machines[2], &pb.Order{Kind: pb.Order_KIND_READ})
	require.EqualValues(t, 200, read.GetStatus())
	require.JSONEq(t, string(order.GetBody()), string(read.GetBody()))
	require.EqualValues(t, 200, cluster.order(cluster.machines[1], replaceOrder(3, 4)).GetStatus())
	t.Logf("resumed after %v", time.Since(began))
}

func TestAnyNodeMayStopForGood(t *testing.T) {
	for index := range 3 {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t)
			require.EqualValues(t, 200, cluster.order(cluster.machines[0], replaceOrder(0, 3)).GetStatus())
			cluster.machines[index].stop()
			began := time.Now()
			other := cluster.machines[(index+1)%3]
			require.EqualValues(t, 200, cluster.order(other, replaceOrder(3, 4)).GetStatus())
			t.Logf("acknowledged after %v", time.Since(began))
			require.EqualValues(t, 200, cluster.order(other, &pb.Order{Kind: pb.Order_KIND_READ}).GetStatus())
		})
	}
}

func TestNodeWithAnEmptyDiskJoinsAgain(t *testing.T) {
	cluster := newTestCluster(t)
	require.EqualValues(t, 200, cluster.order(cluster.machines[0], replaceOrder(0, 3)).GetStatus())
	wiped := cluster.machines[1]
	wiped.stop()
	wiped.settings.StateDir = t.TempDir()
	wiped.settings.Bootstrap = false
	began := time.Now()
	cluster.start(wiped)
	cluster.await(wiped, 8*time.Second, func(status Status) bool {
		inChain := quorum.IndexOf(status.View.GetChain(), status.Self.GetIdentity()) != quorum.NotFound
		return status.Authoritative && inChain && status.Committed.Generation() == 3
	})
	t.Logf("joined after %v", time.Since(began))
	require.EqualValues(t, 200, cluster.order(wiped, replaceOrder(3, 4)).GetStatus())
}

func TestNodeWithAFullDiskStepsOutOfTheChainAndReturns(t *testing.T) {
	for index := range 3 {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			t.Parallel()
			cluster := newTestClusterOn(t, func(index int) *ringtest.Disk {
				return ringtest.NewDisk(rand.New(rand.NewPCG(1, uint64(index))))
			})
			require.EqualValues(t, 200, cluster.order(cluster.machines[0], replaceOrder(0, 3)).GetStatus())
			cluster.machines[index].disk.SetFull(true)
			other := cluster.machines[(index+1)%3]
			require.EqualValues(t, 200, cluster.order(other, replaceOrder(3, 4)).GetStatus())
			cluster.await(other, 5*time.Second, func(status Status) bool { return len(status.View.GetChain()) == 2 })
			cluster.machines[index].disk.SetFull(false)
			cluster.await(other, 5*time.Second, func(status Status) bool { return len(status.View.GetChain()) == 3 })
			require.EqualValues(t, 200, cluster.order(cluster.machines[index], replaceOrder(4, 5)).GetStatus())
		})
	}
}
