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
	maxPeerSenders    = 64 * int(trafficClasses)
	maxQueuedMessages = 128
	senderIdleTimeout = 30 * time.Second
	// maxQueueDelay is how long a message may wait for the one before it.
	maxQueueDelay         = time.Second
	dialTimeout           = 700 * time.Millisecond
	deliverTimeout        = time.Second // a large delivery adds its transferTime
	unacknowledgedTimeout = 1500 * time.Millisecond
	idleConnTimeout       = 30 * time.Second
	bufferBytes           = 4 << 10
)

// outboxes sends messages to other machines, each lane by its own goroutine, so that one that hangs holds up none
// of the others.
type peerSenders struct {
	ctx      context.Context
	client   *http.Client
	counters *counters
	// undelivered is told of each message of classBulk that may not have reached its receiver; nil: nobody is. It must
	// not block.
	undelivered func(*pb.Message)

	mu      sync.Mutex
	senders map[senderKey]*peerSender
}

// senderKey names an outbox.
type senderKey struct {
	address string
	class   trafficClass
}

// outbox is one lane of the way to one machine.
type peerSender struct {
	owner  *peerSenders
	key    senderKey
	client *peerClient // of the outbox's goroutine
	ready  chan struct{}

	queue []queuedMessage // guarded by the owner's mutex
}

type queuedMessage struct {
	message *pb.Message
	at      time.Time
}

func newPeerSenders(ctx context.Context, counts *counters) *peerSenders {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	return &peerSenders{
		ctx:      ctx,
		counters: counts,
		senders:  make(map[senderKey]*peerSender),
		client: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: int(trafficClasses),
			IdleConnTimeout:     idleConnTimeout,
			ReadBufferSize:      bufferBytes,
			WriteBufferSize:     bufferBytes,
		}},
	}
}

// dialWith replaces how connections are opened.
func (o *peerSenders) dialWith(dial Dial) {
	o.client.Transport.(*http.Transport).DialContext = dial
}

// setUserTimeout ends a connection whose peer does not acknowledge: behind a cut it would hang.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// send queues a message; if too many wait, the oldest is dropped.
func (o *peerSenders) send(address string, message *pb.Message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := senderKey{address: address, class: classOf(message)}
	box := o.senders[key]
	if box == nil {
		if len(o.senders) >= maxPeerSenders {
			o.counters.dropped.Add(1)
			return
		}
		box = o.open(key)
	}
	box.push(queuedMessage{message: message, at: time.Now()})
	select {
	case box.ready <- struct{}{}:
	default:
	}
}

func (o *peerSenders) open(key senderKey) *peerSender {
	box := &peerSender{owner: o, key: key, ready: make(chan struct{}, 1), client: newPeerClient(o.client, key.address)}
	o.senders[key] = box
	go box.run()
	return box
}

// push replaces a heartbeat that still waits by the newer one.
func (b *peerSender) push(next queuedMessage) {
	if next.message.GetHeartbeat() != nil {
		for index := range b.queue {
			if b.queue[index].message.GetHeartbeat() != nil {
				b.queue[index] = next
				return
			}
		}
	}
	if len(b.queue) >= maxQueuedMessages {
		b.queue = b.queue[1:]
		b.owner.counters.dropped.Add(1)
	}
	b.queue = append(b.queue, next)
}

func (b *peerSender) run() {
	for {
		idle := time.NewTimer(senderIdleTimeout)
		select {
		case <-b.owner.ctx.Done():
			idle.Stop()
			return
		case <-b.ready:
			idle.Stop()
			b.deliver(b.takeQueued())
		case <-idle.C:
			if b.closeIfEmpty() {
				return
			}
		}
	}
}

// close takes the outbox out of use unless a message has arrived.
func (b *peerSender) closeIfEmpty() bool {
	b.owner.mu.Lock()
	defer b.owner.mu.Unlock()
	if len(b.queue) > 0 {
		return false
	}
	delete(b.owner.senders, b.key)
	return true
}

// take returns the messages that are still worth sending.
func (b *peerSender) takeQueued() []*pb.Message {
	b.owner.mu.Lock()
	defer b.owner.mu.Unlock()
	oldest := time.Now().Add(-maxQueueDelay)
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
	b.reportUndelivered(expired)
	return messages
}

func (b *peerSender) deliver(messages []*pb.Message) {
	if len(messages) == 0 {
		return
	}
	request := &pb.DeliverRequest{Messages: messages}
	size := proto.Size(request)
	ctx, cancel := context.WithTimeout(b.owner.ctx, deliverTimeout+transferTime(size))
	defer cancel()
	if err := b.client.deliver(ctx, request, size); err != nil {
		b.owner.counters.failedCalls.Add(1)
		b.reportUndelivered(messages)
		return
	}
	b.owner.counters.sent.Add(uint64(len(messages)))
}

func (b *peerSender) reportUndelivered(messages []*pb.Message) {
	if b.key.class != classBulk || b.owner.undelivered == nil {
		return
	}
	for _, message := range messages {
		b.owner.undelivered(message)
	}
}
