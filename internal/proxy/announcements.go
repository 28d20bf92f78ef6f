package proxy

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/placement"
)

const (
	// announcePort is the number, among the machine's ports for own messages, of the port for announcements. A
	// machine with fewer ports neither sends nor gets any.
	announcePort = 3
	// maxDatagramBytes is the largest datagram that is read.
	maxDatagramBytes = 512
	// maxPeers bounds the proxies that are told.
	maxPeers = 256
	// announceQueueSize bounds the announcements that wait to be sent; more are dropped.
	announceQueueSize = 64
	// announceTimeout bounds how long one datagram may wait for the link.
	announceTimeout = 50 * time.Millisecond
	// maxReadErrors is the number of failed reads in a row after which no more announcements are heard.
	maxReadErrors = 100
)

// announcer tells the other proxies of the region of long reads and of servers that fail, and hears of theirs: one
// datagram each, which may be lost. Its methods may be called on nil, and then do nothing.
type announcer struct {
	socket    *net.UDPConn
	region    string
	zone      string
	own       netip.Addr
	port      uint16 // of all announcers
	peers     atomic.Pointer[[]netip.AddrPort]
	queue     chan *pb.ProxyNotice
	done      chan struct{}
	closeOnce sync.Once
	handler   announcementHandler
}

// listener takes in what other proxies tell.
type announcementHandler interface {
	announcementReceived(told placement.Announcement)
	failureReported(server, zone string)
}

// newAnnouncer opens the socket at an address, ip:port. What others tell goes to heard, one call at a time.
func newAnnouncer(address, region, zone string, heard announcementHandler) (*announcer, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	return &announcer{
		socket:  socket,
		region:  region,
		zone:    zone,
		own:     at.Addr(),
		port:    at.Port(),
		queue:   make(chan *pb.ProxyNotice, announceQueueSize),
		done:    make(chan struct{}),
		handler: heard,
	}, nil
}

// setMembers takes in which proxies there are. Those of the own region are told from now on; their port for
// announcements is the same as this one's.
func (a *announcer) setMembers(members []*pb.Neighbour) {
	if a == nil {
		return
	}
	var targets []netip.AddrPort
	for _, member := range members {
		at, err := netip.ParseAddrPort(member.GetAddress())
		if err != nil || member.GetRegion() != a.region || at.Addr() == a.own || len(targets) >= maxPeers {
			continue
		}
		targets = append(targets, netip.AddrPortFrom(at.Addr(), a.port))
	}
	a.peers.Store(&targets)
}

// tell has an announcement sent to the other proxies of the region. It never waits.
func (a *announcer) announce(announcement placement.Announcement) {
	if a == nil || announcement.Tokens <= 0 {
		return
	}
	a.enqueue(&pb.ProxyNotice{Notice: &pb.ProxyNotice_LongRead{LongRead: &pb.LongRead{
		Server: announcement.Server, Prompt: announcement.Prompt, Tokens: uint32(announcement.Tokens),
	}}})
}

// report has a failure of a server reported to the other proxies of the region. It never waits.
func (a *announcer) reportFailure(server string) {
	if a == nil {
		return
	}
	a.enqueue(&pb.ProxyNotice{Notice: &pb.ProxyNotice_ServerFailed{ServerFailed: &pb.ServerFailed{Server: server, Zone: a.zone}}})
}

func (a *announcer) enqueue(notice *pb.ProxyNotice) {
	select {
	case a.queue <- notice:
	default:
	}
}

// send sends announcements until close.
func (a *announcer) sendLoop() {
	for {
		select {
		case notice := <-a.queue:
			a.sendToAll(notice)
		case <-a.done:
			return
		}
	}
}

func (a *announcer) sendToAll(notice *pb.ProxyNotice) {
	targets := a.peers.Load()
	if targets == nil {
		return
	}
	datagram, err := proto.Marshal(notice)
	if err != nil {
		return
	}
	_ = a.socket.SetWriteDeadline(time.Now().Add(announceTimeout))
	for _, target := range *targets {
		_, _ = a.socket.WriteToUDPAddrPort(datagram, target)
	}
}

// listen takes in announcements until close.
func (a *announcer) receiveLoop() {
	buffer := make([]byte, maxDatagramBytes)
	var notice pb.ProxyNotice
	for faults := 0; faults < maxReadErrors; {
		size, _, err := a.socket.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			faults++
			continue
		}
		faults = 0
		if proto.Unmarshal(buffer[:size], &notice) == nil {
			a.handle(&notice)
		}
	}
}

// take hands on what a notice tells; an unknown kind is left.
func (a *announcer) handle(notice *pb.ProxyNotice) {
	switch told := notice.GetNotice().(type) {
	case *pb.ProxyNotice_LongRead:
		a.handler.announcementReceived(placement.Announcement{
			Server: told.LongRead.GetServer(),
			Prompt: told.LongRead.GetPrompt(),
			Tokens: int(told.LongRead.GetTokens()),
		})
	case *pb.ProxyNotice_ServerFailed:
		a.handler.failureReported(told.ServerFailed.GetServer(), told.ServerFailed.GetZone())
	}
}

// close ends sending and listening.
func (a *announcer) close() {
	if a == nil {
		return
	}
	a.closeOnce.Do(func() {
		close(a.done)
		_ = a.socket.Close()
	})
}
