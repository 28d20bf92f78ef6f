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

// Bounds of the connections to other machines.
const (
	maxPeerSenders    = 64 * int(trafficClasses)
	maxQueuedMessages = 128
	// senderIdleTimeout is how long a sender without messages keeps its goroutine.
	senderIdleTimeout = 30 * time.Second
	// maxQueueDelay is how long a message may wait for the one before it; after that it is dropped.
	maxQueueDelay = time.Second
	dialTimeout   = 700 * time.Millisecond
	// deliverTimeout is how long one call may take; a large delivery adds its transferTime.
	deliverTimeout = time.Second
	// unacknowledgedTimeout ends a connection whose peer acknowledges nothing (TCP_USER_TIMEOUT, RFC 5482).
	unacknowledgedTimeout = 1500 * time.Millisecond
	idleConnTimeout       = 30 * time.Second
	connBufferBytes       = 4 << 10
)

// peerSenders sends messages to other machines, each traffic class of each by a goroutine of its own, so that one that
// hangs holds up none of the others. The goroutines end with ctx, and each also after senderIdleTimeout.
type peerSenders struct {
	ctx      context.Context // bounds the goroutines that send starts
	client   *http.Client
	counters *counters
	// undelivered is called with each message of classBulk that may not have reached its receiver; nil: nothing is. It
	// must not block.
	undelivered func(*pb.Message)

	mu      sync.Mutex // guards what follows and the queues of the senders
	senders map[senderKey]*peerSender
}

type senderKey struct {
	address string
	class   trafficClass
}

// peerSender sends one traffic class to one machine.
type peerSender struct {
	owner  *peerSenders
	key    senderKey
	client *peerClient   // of the goroutine
	ready  chan struct{} // holds an item when the queue may have messages

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

// dialWith replaces how connections are opened.
func (s *peerSenders) dialWith(dial Dial) {
	s.client.Transport.(*http.Transport).DialContext = dial
}

// setUserTimeout ends a connection whose peer does not acknowledge: across a partition it would hang.
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

// send queues a message; if too many wait, the oldest is dropped. It does not wait for the network.
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
	select {
	case sender.ready <- struct{}{}:
	default:
	}
}

func (s *peerSenders) open(key senderKey) *peerSender {
	sender := &peerSender{owner: s, key: key, ready: make(chan struct{}, 1), client: newPeerClient(s.client, key.address)}
	s.senders[key] = sender
	go sender.run()
	return sender
}

// push replaces a heartbeat that still waits by the newer one. The caller holds the owner's mu.
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

// closeIfEmpty takes the sender out of use unless a message has arrived.
func (s *peerSender) closeIfEmpty() bool {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	if len(s.queue) > 0 {
		return false
	}
	delete(s.owner.senders, s.key)
	return true
}

// takeQueued empties the queue, and returns the messages that have not waited for too long.
func (s *peerSender) takeQueued() []*pb.Message {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	oldest := time.Now().Add(-maxQueueDelay)
	messages := make([]*pb.Message, 0, len(s.queue))
	var expired []*pb.Message
	for _, queued := range s.queue {
		if queued.at.Before(oldest) {
			expired = append(expired, queued.message)
			continue
		}
		messages = append(messages, queued.message)
	}
	s.queue = nil
	s.owner.counters.dropped.Add(uint64(len(expired)))
	s.reportUndelivered(expired)
	return messages
}

// deliver sends messages in one call. What fails is reported and dropped: whoever waits for an answer sends again.
func (s *peerSender) deliver(messages []*pb.Message) {
	if len(messages) == 0 {
		return
	}
	request := &pb.DeliverRequest{Messages: messages}
	size := proto.Size(request)
	ctx, cancel := context.WithTimeout(s.owner.ctx, deliverTimeout+transferTime(size))
	defer cancel()
	if err := s.deliverRequest(ctx, request, size); err != nil {
		s.owner.counters.failedCalls.Add(1)
		s.reportUndelivered(messages)
		return
	}
	s.owner.counters.sent.Add(uint64(len(messages)))
}

// deliverRequest delivers a request. A call of an application must not come once more after it was answered that nothing
// was done.
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
