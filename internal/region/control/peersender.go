package control

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Limits of the connections to other machines.
const (
	maxPeerSenders    = 64 * int(trafficClasses)
	maxQueuedMessages = 128
	// senderIdleTimeout is how long the goroutine of a sender without messages is kept.
	senderIdleTimeout = 30 * time.Second
	// maxDeliveryBytes is the size of the messages from which on no further one is added to a delivery. The receiver
	// refuses deliveries that are much larger.
	maxDeliveryBytes = 4 << 20
	// maxQueueDelay is how long a message may wait in the queue before it is dropped.
	maxQueueDelay = time.Second
	dialTimeout   = 700 * time.Millisecond
	// deliverTimeout limits one call; the transferTime of the delivery is added.
	deliverTimeout = time.Second
	// unacknowledgedTimeout closes a connection whose peer acknowledges nothing (TCP_USER_TIMEOUT, RFC 5482).
	unacknowledgedTimeout = 1500 * time.Millisecond
	idleConnTimeout       = 30 * time.Second
	connBufferBytes       = 4 << 10
)

// peerSenders sends messages to other machines. Each traffic class of each machine has its own goroutine, so that a
// machine that hangs does not delay messages to other machines. The goroutines end with ctx; each also ends after
// senderIdleTimeout without messages.
type peerSenders struct {
	ctx      context.Context // bounds the goroutines that send starts
	client   *http.Client
	counters *counters
	// undelivered is called with each message of classBulk that may not have reached its receiver; nil: reports are
	// dropped. It must not block.
	undelivered func(*pb.Message)

	mu      sync.Mutex // guards the fields below and the queues of the senders
	senders map[senderKey]*peerSender
}

type senderKey struct {
	address string
	class   trafficClass
}

// peerSender sends the messages of one traffic class to one machine.
type peerSender struct {
	owner  *peerSenders
	key    senderKey
	client *peerClient   // used by the sender's goroutine only
	ready  chan struct{} // holds an element while the queue may have messages

	queue []queuedMessage // guarded by the owner's mu
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
			ReadBufferSize:      connBufferBytes,
			WriteBufferSize:     connBufferBytes,
		}},
	}
}

// dialWith replaces the function that opens connections.
func (s *peerSenders) dialWith(dial Dial) {
	s.client.Transport.(*http.Transport).DialContext = dial
}

// setUserTimeout makes the kernel close a connection whose peer does not acknowledge; across a partition the connection
// would otherwise hang.
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

// send queues a message; if the queue is full, the oldest message is dropped. It does not wait for the network.
func (s *peerSenders) send(address string, message *pb.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := senderKey{address: address, class: classOf(message)}
	sender := s.senders[key]
	if sender == nil {
		if len(s.senders) >= maxPeerSenders {
			s.counters.dropped.Add(1)
			return
		}
		sender = s.open(key)
	}
	sender.push(queuedMessage{message: message, at: time.Now()})
	notify(sender.ready)
}

func (s *peerSenders) open(key senderKey) *peerSender {
	sender := &peerSender{owner: s, key: key, ready: make(chan struct{}, 1), client: newPeerClient(s.client, key.address)}
	s.senders[key] = sender
	go sender.run()
	return sender
}

// push queues a message. A newer heartbeat replaces one that is still queued. The caller holds the owner's mu.
func (s *peerSender) push(next queuedMessage) {
	if next.message.GetHeartbeat() != nil {
		for index := range s.queue {
			if s.queue[index].message.GetHeartbeat() != nil {
				s.queue[index] = next
				return
			}
		}
	}
	if len(s.queue) >= maxQueuedMessages {
		s.queue = s.queue[1:]
		s.owner.counters.dropped.Add(1)
	}
	s.queue = append(s.queue, next)
}

func (s *peerSender) run() {
	for {
		idle := time.NewTimer(senderIdleTimeout)
		select {
		case <-s.owner.ctx.Done():
			idle.Stop()
			return
		case <-s.ready:
			idle.Stop()
			s.deliver(s.takeQueued())
		case <-idle.C:
			if s.closeIfEmpty() {
				return
			}
		}
	}
}

// closeIfEmpty removes the sender unless a message has been queued.
func (s *peerSender) closeIfEmpty() bool {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	if len(s.queue) > 0 {
		return false
	}
	delete(s.owner.senders, s.key)
	return true
}

// takeQueued removes messages from the queue, up to maxDeliveryBytes, and returns those that have waited for no longer
// than maxQueueDelay. The other messages are reported as undelivered.
func (s *peerSender) takeQueued() []*pb.Message {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	oldest := time.Now().Add(-maxQueueDelay)
	messages := make([]*pb.Message, 0, len(s.queue))
	var expired []*pb.Message
	size, taken := 0, 0
	for _, queued := range s.queue {
		if size >= maxDeliveryBytes {
			break
		}
		taken++
		if queued.at.Before(oldest) {
			expired = append(expired, queued.message)
			continue
		}
		messages = append(messages, queued.message)
		size += proto.Size(queued.message)
	}
	s.queue = slices.Clone(s.queue[taken:])
	if len(s.queue) > 0 {
		notify(s.ready)
	}
	s.owner.counters.dropped.Add(uint64(len(expired)))
	s.reportUndelivered(expired)
	return messages
}

// deliver sends messages in one call. If the call fails, the messages are reported as undelivered and dropped: a
// component that needs an answer sends its message again.
func (s *peerSender) deliver(messages []*pb.Message) {
	if len(messages) == 0 {
		return
	}
	request := &pb.DeliverRequest{Messages: messages}
	size := proto.Size(request)
	ctx, cancel := context.WithTimeout(s.owner.ctx, deliverTimeout+transferTime(size))
	defer cancel()
	if err := s.deliverRequest(ctx, request, size); err != nil {
		s.owner.counters.countFailedDelivery(err)
		s.reportUndelivered(messages)
		return
	}
	s.owner.counters.countDelivery(messages, size)
}

// deliverRequest delivers a request. A call of an application is delivered at most once, since a duplicate must not
// arrive after the application was told that the call was not executed.
func (s *peerSender) deliverRequest(ctx context.Context, request *pb.DeliverRequest, size int) error {
	if s.key.class == classCalls {
		return s.client.deliverOnce(ctx, request)
	}
	return s.client.deliver(ctx, request, size)
}

func (s *peerSender) reportUndelivered(messages []*pb.Message) {
	if s.key.class != classBulk || s.owner.undelivered == nil {
		return
	}
	for _, message := range messages {
		s.owner.undelivered(message)
	}
}
