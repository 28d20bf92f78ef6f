package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
)

// Limits of a Node.
const (
	eventQueueLength = 256
	// leaveTimeoutMargin is the time after LeaveTimeout at which Node.Leave stops waiting for a Machine that does not
	// respond.
	leaveTimeoutMargin = 200 * time.Millisecond
	// enqueueTimeout is how long a delivery waits for room in the event queue.
	enqueueTimeout = 300 * time.Millisecond
)

// Node is the shell around a Machine: it owns the ring, the connections to other control machines and the clock.
//
// Its goroutines end with the context of Start; Wait waits for the first two:
//
//   - the loop (nodeloop.go) alone uses machine; it takes events from the queue and never waits for the network;
//   - the writer (ringwriter.go) alone uses the ring; the loop passes it Persist actions and takes its
//     results (writequeue.go), and neither ever waits for the other;
//   - one sender for each peer and traffic class (peersender.go) makes the calls to that peer.
//
// Goroutines of callers put events into the queue and wait on channels; they share the fields under mu with the loop.
type Node struct {
	options  Options
	logger   *zap.Logger
	events   chan Event
	senders  *peerSenders
	writer   *ringWriter
	counters counters
	reads    readMonitor

	machine   *Machine // used by the loop only
	startedAt time.Time
	running   sync.WaitGroup // the loop and the writer

	status       atomic.Pointer[Status]
	coordination atomic.Pointer[CoordinationStatus] // status at the last tick; nil before the first tick
	lastTickAt   atomic.Int64                       // time of the last tick that the loop handled, in nanoseconds since startedAt
	left         chan bool                          // receives once, when the Machine has left: Left.Agreed

	mu          sync.Mutex // guards the fields below
	changed     chan struct{}
	history     *catalog.History
	replies     map[uint64]chan Reply // by request number
	callReplies map[uint64]chan *pb.CoordinationResult
	lastRequest uint64
}

// Start opens the ring, retrying while the disk fails, and starts the goroutines of the node; they end with ctx. On a
// disk without readable state, the machine starts as a new replica. The error says that ctx ended, that no state folder
// is set, that the state on disk is of another version of this program, or, as a *RingsCorruptError, that too many
// rings on the disk are corrupt.
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
		replies:   make(map[uint64]chan Reply),

		callReplies: make(map[uint64]chan *pb.CoordinationResult),
		left:        make(chan bool, 1),
	}
	node.reads.logger = node.logger
	node.senders = newPeerSenders(ctx, &node.counters)
	node.senders.undelivered = node.postUndelivered
	if options.Dial != nil {
		node.senders.dialWith(options.Dial)
	}
	node.writer = newRingWriter(opened, &node.counters, node.logger)
	node.publish()
	node.running.Go(func() { node.writer.run(ctx) })
	node.running.Go(func() { node.loop(ctx) })
	return node, nil
}

// Wait returns when the loop has ended and the ring is closed, after the end of Start's context. Until Wait returns,
// the node may still write to the state folder.
func (n *Node) Wait() { n.running.Wait() }

// Deliver implements fieldrelayv1connect.ControlPeerHandler: it queues the messages of another control machine.
func (n *Node) Deliver(ctx context.Context, request *connect.Request[pb.DeliverRequest]) (*connect.Response[pb.DeliverResponse], error) {
	messages := request.Msg.GetMessages()
	n.counters.received.Add(uint64(len(messages)))
	ctx, cancel := context.WithTimeout(ctx, enqueueTimeout)
	defer cancel()
	for _, message := range messages {
		select {
		case n.events <- Received{Message: message}:
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeUnavailable, errors.New("the machine is behind"))
		}
	}
	return connect.NewResponse(&pb.DeliverResponse{}), nil
}

// SetSeeds names other machines to contact, by their operator API addresses, when the known machines cannot be reached.
// It waits for room in the event queue until ctx ends.
func (n *Node) SetSeeds(ctx context.Context, seeds []string) {
	n.post(ctx, SeedsChanged{Seeds: seeds})
}

// BroadcastServerList sends a server list to the other control machines that can be reached. It does not block: if the
// event queue is full, the list is dropped, since the next one follows soon.
func (n *Node) BroadcastServerList(list *pb.ServerList) {
	select {
	case n.events <- BroadcastServerList{List: list}:
	default:
	}
}

// Leave begins a graceful shutdown, and returns when this process may end: the other machines can continue without this
// machine, there is no other machine that could, or LeaveTimeout has passed. It reports whether the other machines have
// agreed on a view without this machine. It may be called once; the node continues to serve until its context ends.
func (n *Node) Leave(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, LeaveTimeout+leaveTimeoutMargin)
	defer cancel()
	n.post(ctx, Leave{})
	select {
	case agreed := <-n.left:
		return agreed
	case <-ctx.Done():
		return false
	}
}
