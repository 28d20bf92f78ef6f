package peer

import (
	"errors"
	"fmt"
	"sync"
	"testing"

	"fieldrelay/internal/testkit/contract"
	"fieldrelay/internal/testkit/faultline"
)

var channelMaker = contract.ChannelMaker{MostDatagram: MaxDatagram, MostFrame: MaxFrame, Sockets: true, ReadTimeout: readTimeout,
	Listen: func(_ contract.T, deliver func([]byte)) (contract.Channel, error) {
		return Listen("127.0.0.1:0", deliver)
	}}

func TestChannelContract(t *testing.T) {
	contract.Run(t, contract.ChannelClauses, channelMaker)
}

// Runs the contract through a fault injector that loses, duplicates and reorders datagrams, and delays streams.
func TestChannelContractThroughFaults(t *testing.T) {
	m := channelMaker
	m.Reach = func(t contract.T, to contract.Channel) (string, func(), error) {
		l, err := faultline.NewLink("a>b", "127.0.0.1", to.Addr(), 7)
		if err != nil {
			return "", nil, err
		}
		l.Set(faultline.Fault{Loss: 0.2, Duplicate: 0.2, Reorder: 0.2, Delay: 1_000_000, Jitter: 2_000_000}, faultline.Fault{})
		return l.Addr(), func() { l.Close() }, nil
	}
	contract.Run(t, contract.ChannelClauses, m)
}

// memoryNetwork connects channels in memory, optionally with an injected fault.
type memoryNetwork struct {
	mu        sync.Mutex
	byAddress map[string]*memoryChannel
	fault     string
}

// memoryChannel is one endpoint in a memoryNetwork.
type memoryChannel struct {
	network *memoryNetwork
	addr    string
	deliver func([]byte)
	queue   chan []byte
	done    chan struct{}
	once    sync.Once
	wg      sync.WaitGroup
}

func (x *memoryNetwork) listen(_ contract.T, deliver func([]byte)) (contract.Channel, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := &memoryChannel{network: x, addr: fmt.Sprintf("m%d", len(x.byAddress)), deliver: deliver, queue: make(chan []byte, maxQueued), done: make(chan struct{})}
	x.byAddress[e.addr] = e
	e.wg.Go(func() {
		for {
			select {
			case f := <-e.queue:
				e.deliver(f)
			case <-e.done:
				return
			}
		}
	})
	return e, nil
}

func (e *memoryChannel) Addr() string { return e.addr }

func (e *memoryChannel) Datagram(address string, frame []byte) error {
	if len(frame) > MaxDatagram && e.network.fault != "long" {
		return ErrTooLong
	}
	e.Stream(address, frame)
	return nil
}

func (e *memoryChannel) Stream(address string, frame []byte) {
	e.network.mu.Lock()
	to := e.network.byAddress[address]
	e.network.mu.Unlock()
	if to == nil || len(frame) > MaxFrame && e.network.fault != "long" {
		return
	}
	frame = append([]byte(nil), frame...)
	switch e.network.fault {
	case "cut":
		frame = frame[:(len(frame)+1)/2]
	case "twice":
		to.enqueue(frame)
	case "slow":
		select {
		case to.queue <- frame:
		case <-to.done:
		case <-e.done:
		}
		return
	}
	to.enqueue(frame)
}

// enqueue queues a frame for delivery. If the queue is full, its oldest frame is dropped.
func (e *memoryChannel) enqueue(frame []byte) {
	for {
		select {
		case e.queue <- frame:
			return
		default:
		}
		select {
		case <-e.queue:
		default:
		}
	}
}

func (e *memoryChannel) Close() {
	if e.network.fault == "leak" {
		return
	}
	e.once.Do(func() { close(e.done) })
	if e.network.fault != "slow" { // with this fault the reader may never return
		e.wg.Wait()
	}
}

func newMemoryMaker(fault string) contract.ChannelMaker {
	x := &memoryNetwork{byAddress: map[string]*memoryChannel{}, fault: fault}
	return contract.ChannelMaker{Listen: x.listen, MostDatagram: MaxDatagram, MostFrame: MaxFrame}
}

func TestChannelContractInMemory(t *testing.T) {
	m := newMemoryMaker("")
	contract.Run(t, contract.ChannelClauses[:3], m)
	contract.Run(t, contract.ChannelClauses[7:], m)
}

// The contract must detect a channel that violates one of its clauses.
func TestBrokenChannelsAreNamed(t *testing.T) {
	for fault, clause := range map[string]int{"twice": 0, "cut": 1, "long": 2, "leak": 7} {
		want := contract.ChannelClauses[clause]
		if err := want.Check(t, newMemoryMaker(fault)); err == nil {
			t.Errorf("%s: no violation detected for a channel with fault %q", want.Name, fault)
		}
	}
	longTimeout := channelMaker // expects a much later end of a stalled stream than the channel enforces
	longTimeout.ReadTimeout = 60 * readTimeout
	if err := contract.ChannelClauses[6].Check(t, longTimeout); err == nil || errors.Is(err, ErrTooLong) {
		t.Errorf("no violation detected although streams time out much earlier than expected: %v", err)
	}
}
