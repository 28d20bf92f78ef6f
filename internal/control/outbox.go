package control

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Bounds of the ways to other machines.
const (
	maxOutboxes    = 64 * int(lanes)
	outboxMessages = 128
	outboxIdle     = 30 * time.Second
	// messageAge is how long a message may wait for the one before it.
	messageAge  = time.Second
	dialLimit   = 700 * time.Millisecond
	callLimit   = time.Second // a large delivery adds its sendingTime
	userTimeout = 1500 * time.Millisecond
	idleLimit   = 30 * time.Second
	bufferBytes = 4 << 10
)

// outboxes sends messages to other machines, each lane by its own goroutine, so that one that hangs holds up none
// of the others.
type outboxes struct {
	ctx      context.Context
	client   *http.Client
	counters *counters
	// undelivered is told of each message of laneBulk that may not have reached its receiver; nil: nobody is. It must
	// not block.
	undelivered func(*pb.Message)

	mutex sync.Mutex
	boxes map[boxKey]*outbox
}

// boxKey names an outbox.
type boxKey struct {
	address string
	lane    lane
}

// outbox is one lane of the way to one machine.
type outbox struct {
	owner  *outboxes
	key    boxKey
	client *peerClient // of the outbox's goroutine
	wake   chan struct{}

	queue []queued // guarded by the owner's mutex
}

type queued struct {
	message *pb.Message
	at      time.Time
}

func newOutboxes(ctx context.Context, counts *counters) *outboxes {
	dialer := &net.Dialer{Timeout: dialLimit, KeepAlive: -1, Control: limitUnacknowledged}
	return &outboxes{
		ctx:      ctx,
		counters: counts,
		boxes:    make(map[boxKey]*outbox),
		client: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: int(lanes),
			IdleConnTimeout:     idleLimit,
			ReadBufferSize:      bufferBytes,
			WriteBufferSize:     bufferBytes,
		}},
	}
}

// dialWith replaces how connections are opened.
func (o *outboxes) dialWith(dial Dial) {
	o.client.Transport.(*http.Transport).DialContext = dial
}

// limitUnacknowledged ends a connection whose peer does not acknowledge: behind a cut it would hang.
func limitUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// send queues a message; if too many wait, the oldest is dropped.
func (o *outboxes) send(address string, message *pb.Message) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	key := boxKey{address: address, lane: laneOf(message)}
	box := o.boxes[key]
	if box == nil {
		if len(o.boxes) >= maxOutboxes {
			o.counters.dropped.Add(1)
			return
		}
		box = o.open(key)
	}
	box.push(queued{message: message, at: time.Now()})
	select {
	case box.wake <- struct{}{}:
	default:
	}
}

func (o *outboxes) open(key boxKey) *outbox {
	box := &outbox{owner: o, key: key, wake: make(chan struct{}, 1), client: newPeerClient(o.client, key.address)}
	o.boxes[key] = box
	go box.run()
	return box
}

// push replaces a heartbeat that still waits by the newer one.
func (b *outbox) push(next queued) {
	if next.message.GetHeartbeat() != nil {
		for index := range b.queue {
			if b.queue[index].message.GetHeartbeat() != nil {
				b.queue[index] = next
				return
			}
		}
	}
	if len(b.queue) >= outboxMessages {
		b.queue = b.queue[1:]
		b.owner.counters.dropped.Add(1)
	}
	b.queue = append(b.queue, next)
}

func (b *outbox) run() {
	for {
		idle := time.NewTimer(outboxIdle)
		select {
		case <-b.owner.ctx.Done():
			idle.Stop()
			return
		case <-b.wake:
			idle.Stop()
			b.deliver(b.take())
		case <-idle.C:
			if b.close() {
				return
			}
		}
	}
}

// close takes the outbox out of use unless a message has arrived.
func (b *outbox) close() bool {
	b.owner.mutex.Lock()
	defer b.owner.mutex.Unlock()
	if len(b.queue) > 0 {
		return false
	}
	delete(b.owner.boxes, b.key)
	return true
}

// take returns the messages that are still worth sending.
func (b *outbox) take() []*pb.Message {
	b.owner.mutex.Lock()
	defer b.owner.mutex.Unlock()
	oldest := time.Now().Add(-messageAge)
	messages := make([]*pb.Message, 0, len(b.queue))
	var expired []*pb.Message
	for _, waiting := range b.queue {
		if waiting.at.Before(oldest) {
			expired = append(expired, waiting.message)
			continue
		}
		messages = append(messages, waiting.message)
	}
	b.queue = nil
	b.owner.counters.dropped.Add(uint64(len(expired)))
	b.tellUndelivered(expired)
	return messages
}

func (b *outbox) deliver(messages []*pb.Message) {
	if len(messages) == 0 {
		return
	}
	request := &pb.DeliverRequest{Messages: messages}
	size := proto.Size(request)
	ctx, cancel := context.WithTimeout(b.owner.ctx, callLimit+sendingTime(size))
	defer cancel()
	if err := b.client.deliver(ctx, request, size); err != nil {
		b.owner.counters.failedCalls.Add(1)
		b.tellUndelivered(messages)
		return
	}
	b.owner.counters.sent.Add(uint64(len(messages)))
}

func (b *outbox) tellUndelivered(messages []*pb.Message) {
	if b.key.lane != laneBulk || b.owner.undelivered == nil {
		return
	}
	for _, message := range messages {
		b.owner.undelivered(message)
	}
}
