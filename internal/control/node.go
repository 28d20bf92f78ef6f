package control

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/chain"
	"fieldrelay/internal/ring"
	"fieldrelay/internal/settings"
)

// Bounds of a Node.
const (
	eventQueueLength = 256
	// submitSlack is added to an order's limit, to end the wait for a machine that does not answer at all.
	submitSlack = time.Second
	// leaveSlack is added to LeaveTimeout, to end the wait for a machine that does not answer at all.
	leaveSlack = 200 * time.Millisecond
	// enqueueTimeout is how long a delivery waits for a machine that is behind.
	enqueueTimeout = 300 * time.Millisecond
)

// Dial opens a connection, as net.Dialer.DialContext does. It bounds its time by itself.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a Node.
type Options struct {
	Settings *settings.Settings
	Logger   *zap.Logger
	// ControlAddress is the ip:port of this machine's operator's API.
	ControlAddress string
	// Soft is asked for what each heartbeat carries besides the agreed state; nil: nothing. It must not block.
	Soft func() ([]*pb.AgentRecord, *pb.ListVersion)
	// OnHeartbeat is told of each heartbeat of another control machine; nil: nothing. It must not block.
	OnHeartbeat func(from *pb.Replica, heartbeat *pb.Heartbeat)
	// OnServerList is told of each server list from another control machine; nil: nothing. It must not block.
	OnServerList func(list *pb.ServerList)
	// PeerAddress gives the peer service, ip:port, of a seed; nil: the seed's ip and the first port of the
	// settings' port range.
	PeerAddress func(seed string) string
	// Dial opens connections to other control machines; nil: by TCP.
	Dial Dial
	// Storage holds the ring; nil: a folder under the settings' state folder.
	Storage ring.Files
}

// Status is an immutable picture of what a Node holds.
type Status struct {
	View      *pb.View          // agreed view; nil before founding or joining
	Self      *pb.Replica       // this machine
	Committed *catalog.Snapshot // newest committed state known here; nil before the first confirmation
	// Authoritative: this machine holds the state of the agreed view and has heard from a majority of the
	// voters within the last second or so.
	Authoritative bool
	Live          []string // hosts of the live voters, this one included, in the order of the view
	Founded       bool     // a view is known
}

// Node runs a Machine: it owns the ring, the connections to other control machines and the clock.
type Node struct {
	options   Options
	logger    *zap.Logger
	startedAt time.Time
	events    chan Event
	senders   *peerSenders
	writer    *ringWriter
	counters  counters

	// owned by the loop
	machine *Machine

	status     atomic.Pointer[Status]
	lastTickAt atomic.Int64 // when the loop was last at work, since began
	left       chan bool    // holds whether the others agreed, once the machine has left

	mu          sync.Mutex // guards what follows
	changed     chan struct{}
	history     *catalog.History
	replies     map[uint64]chan *pb.OrderResult // by request
	lastRequest uint64
}

// Start opens the ring, again and again while the disk refuses, and starts the goroutines of the node; they
// end with ctx. On a disk that holds no state that can be read, it comes back as another replica. The error tells
// that ctx ended, that there is no state folder, that what is on disk is of another version of this program, or
// that too many rings on it were corrupt.
func Start(ctx context.Context, options Options) (*Node, error) {
	opened, recovered, replaced, err := openRing(ctx, options)
	if err != nil {
		return nil, err
	}
	config := machineConfig(options)
	config.Bootstrap = config.Bootstrap && !replaced
	machine, err := NewMachine(config, recovered)
	if err != nil {
		return nil, errors.Wrap(err, "recover the control state")
	}
	node := &Node{
		options:   options,
		logger:    options.Logger.Named("control"),
		startedAt: time.Now(),
		events:    make(chan Event, eventQueueLength),
		machine:   machine,
		changed:   make(chan struct{}),
		history:   catalog.NewHistory(0),
		replies:   make(map[uint64]chan *pb.OrderResult),
		left:      make(chan bool, 1),
	}
	node.senders = newPeerSenders(ctx, &node.counters)
	node.senders.undelivered = node.undelivered
	if options.Dial != nil {
		node.senders.dialWith(options.Dial)
	}
	node.writer = newRingWriter(opened, node.post, &node.counters)
	node.publish()
	go node.writer.run(ctx)
	go node.loop(ctx)
	return node, nil
}

func machineConfig(options Options) Config {
	own := options.Settings
	peerAddress := options.PeerAddress
	if peerAddress == nil {
		peerAddress = peerAddressOf(own)
	}
	return Config{
		Self: &pb.Replica{
			Host:           own.Hostname,
			Address:        own.Port(0),
			Zone:           own.Zone,
			Region:         own.RegionOf(own.Zone),
			ControlAddress: options.ControlAddress,
		},
		Seeds:     own.Seeds,
		Bootstrap: own.Bootstrap,
		Requirement: chain.Requirement{
			Replicas: own.FaultBudget.Hosts + 1,
			Zones:    own.FaultBudget.Zones + 1,
			Regions:  own.FaultBudget.Regions + 1,
		},
		PeerAddress: peerAddress,
		Random:      newRandom(),
	}
}

func newRandom() *rand.Rand {
	var seed [16]byte
	_, _ = crand.Read(seed[:]) // it never fails
	return rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:]), binary.LittleEndian.Uint64(seed[8:])))
}

// Submit hands an order of the operator to the system and waits for its result: status 503 when it is not
// known within a second, or longer for a large body. It never returns nil.
func (node *Node) Submit(ctx context.Context, order *pb.Order) *pb.OrderResult {
	node.counters.orders.Add(1)
	answer := make(chan *pb.OrderResult, 1)
	request := node.registerReply(answer)
	defer node.unregisterReply(request)
	ctx, cancel := context.WithTimeout(ctx, orderTimeoutOf(order)+submitSlack)
	defer cancel()
	select {
	case node.events <- OrderSubmitted{Request: request, Order: order}:
	case <-ctx.Done():
		return unavailable(0)
	}
	select {
	case result := <-answer:
		return result
	case <-ctx.Done():
		node.cancelOrder(request)
		return unavailable(0)
	}
}

// withdraw tells the machine that nobody waits for an order any more.
func (node *Node) cancelOrder(request uint64) {
	select {
	case node.events <- OrderCanceled{Request: request}:
	default: // the order ends at its deadline
	}
}

func (node *Node) registerReply(answer chan *pb.OrderResult) uint64 {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.lastRequest++
	node.replies[node.lastRequest] = answer
	return node.lastRequest
}

func (node *Node) unregisterReply(request uint64) {
	node.mu.Lock()
	defer node.mu.Unlock()
	delete(node.replies, request)
}

// Status tells what the node holds now. While the loop stands still, nothing tells whether the state has grown
// old.
func (node *Node) Status() Status {
	status := *node.status.Load()
	if time.Since(node.startedAt)-time.Duration(node.lastTickAt.Load()) >= stallThreshold {
		status.Authoritative = false
	}
	return status
}

// Changed returns a channel that is closed at the next change of the committed state, the view, Authoritative
// or Live.
func (node *Node) Changed() <-chan struct{} {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.changed
}

// Since returns the committed changes after sequence, oldest first; false when they are not kept any more.
func (node *Node) Since(sequence uint64) ([]*pb.Change, bool) {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.history.Since(sequence)
}

// Deliver implements fieldrelayv1connect.ControlPeerHandler.
func (node *Node) Deliver(ctx context.Context, request *connect.Request[pb.DeliverRequest]) (*connect.Response[pb.DeliverResponse], error) {
	messages := request.Msg.GetMessages()
	node.counters.received.Add(uint64(len(messages)))
	ctx, cancel := context.WithTimeout(ctx, enqueueTimeout)
	defer cancel()
	for _, message := range messages {
		select {
		case node.events <- Received{Message: message}:
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeUnavailable, errors.New("the machine is behind"))
		}
	}
	return connect.NewResponse(&pb.DeliverResponse{}), nil
}

// SetSeeds names other machines to ask, by their operator's addresses, when the known ones cannot be reached.
func (node *Node) SetSeeds(ctx context.Context, seeds []string) {
	node.post(ctx, SeedsChanged{Seeds: seeds})
}

// BroadcastServerList sends a server list to the other control machines, as far as they can be reached.
func (node *Node) BroadcastServerList(list *pb.ServerList) {
	select {
	case node.events <- BroadcastServerList{List: list}:
	default: // the next list follows soon
	}
}

// Leave tells the other control machines that this one is to end, and returns when it may: the others go on
// without it, or cannot, or LeaveTimeout is over. It reports whether they agreed on that. It is called once; the node
// works on until its context ends.
func (node *Node) Leave(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, LeaveTimeout+leaveSlack)
	defer cancel()
	node.post(ctx, Leave{})
	select {
	case agreed := <-node.left:
		return agreed
	case <-ctx.Done():
		return false
	}
}
