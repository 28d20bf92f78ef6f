package control

import (
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

// reportInterval is the time between two log lines of counters.
const reportInterval = 30 * time.Second

// counters count events since the start of the process, for the log. They are safe for concurrent use.
type counters struct {
	sent        atomic.Uint64 // messages that were delivered
	received    atomic.Uint64 // messages that arrived
	dropped     atomic.Uint64 // messages not sent because the queue was full or because they waited for longer than maxQueueDelay
	failedCalls atomic.Uint64 // failed deliveries, each of one or more messages
	tooLarge    atomic.Uint64 // failed deliveries that were larger than the receiver reads
	sentBytes   atomic.Uint64 // size of all delivered messages, before compression

	transfersSent     atomic.Uint64 // delivered messages with registers for another voter
	transferBytesSent atomic.Uint64 // size of these messages, before compression

	writes        atomic.Uint64 // writes to the ring, each of one or more records
	failedWrites  atomic.Uint64
	snapshots     atomic.Uint64 // snapshots written to the ring
	snapshotBytes atomic.Uint64 // size of these snapshots

	calls     atomic.Uint64 // calls of applications that were submitted here
	orders    atomic.Uint64 // orders that were submitted here
	committed atomic.Uint64 // advances of the committed state
	views     atomic.Uint64 // view changes
}

// countDelivery counts messages that were delivered in one request of size bytes.
func (c *counters) countDelivery(messages []*pb.Message, size int) {
	c.sent.Add(uint64(len(messages)))
	c.sentBytes.Add(uint64(size))
	for _, message := range messages {
		if transfer := message.GetRegisterTransfer(); transfer != nil {
			c.transfersSent.Add(1)
			c.transferBytesSent.Add(uint64(proto.Size(transfer)))
		}
	}
}

// countFailedDelivery counts a delivery that failed with an error.
func (c *counters) countFailedDelivery(err error) {
	c.failedCalls.Add(1)
	if connect.CodeOf(err) == connect.CodeResourceExhausted {
		c.tooLarge.Add(1)
	}
}

func (c *counters) log(logger *zap.Logger, status Status) {
	logger.Info("counters",
		zap.Uint64("view", status.View.GetNumber()),
		zap.Uint64("sequence", status.Committed.Sequence()),
		zap.Bool("authoritative", status.Authoritative),
		zap.Uint64("sent", c.sent.Load()),
		zap.Uint64("received", c.received.Load()),
		zap.Uint64("dropped", c.dropped.Load()),
		zap.Uint64("failed_calls", c.failedCalls.Load()),
		zap.Uint64("refused_too_large", c.tooLarge.Load()),
		zap.Uint64("sent_bytes", c.sentBytes.Load()),
		zap.Uint64("register_transfers_sent", c.transfersSent.Load()),
		zap.Uint64("register_transfer_bytes_sent", c.transferBytesSent.Load()),
		zap.Uint64("writes", c.writes.Load()),
		zap.Uint64("failed_writes", c.failedWrites.Load()),
		zap.Uint64("snapshots", c.snapshots.Load()),
		zap.Uint64("snapshot_bytes", c.snapshotBytes.Load()),
		zap.Uint64("calls", c.calls.Load()),
		zap.Uint64("orders", c.orders.Load()),
		zap.Uint64("committed", c.committed.Load()),
		zap.Uint64("views", c.views.Load()),
	)
}
