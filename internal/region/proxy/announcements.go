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
	"fieldrelay/internal/region/placement"
)

const (
	// announcePort is the index, in the machine's port range, of the UDP port for announcements. A machine whose range
	// has fewer ports neither sends nor receives announcements.
	announcePort = 3
	// maxDatagramBytes is the size of the largest datagram that is received. Longer datagrams are truncated, so that
	// they fail to parse and are ignored.
	maxDatagramBytes = 512
	// maxPeers bounds the proxies to which announcements are sent.
	maxPeers = 256
	// announceQueueSize bounds the announcements that wait to be sent. Further announcements are dropped.
	announceQueueSize = 64
	// announceTimeout bounds the time for sending one announcement to all peers.
	announceTimeout = 50 * time.Millisecond
	// maxReadErrors is the number of consecutive failed reads after which the announcer stops receiving.
	maxReadErrors = 100
)

// announcer exchanges announcements of long prefills and of server failures with the other proxies of the region.
// An announcement is one UDP datagram, which may be lost; nothing depends on its delivery. On a nil announcer,
// setMembers, announce, reportFailure and close do nothing. An announcer is safe for concurrent use.
type announcer struct {
	socket    *net.UDPConn
	region    string
	zone      string
	own       netip.Addr // address of this proxy
	port      uint16     // UDP port, the same on all proxies
	peers     atomic.Pointer[[]netip.AddrPort]
	queue     chan *pb.ProxyNotice
	done      chan struct{}
	closeOnce sync.Once
	handler   announcementHandler
}

// announcementHandler receives the announcements of other proxies.
type announcementHandler interface {
	announcementReceived(announcement placement.Announcement)
	failureReported(server, zone string)
}

// newAnnouncer opens the socket at an address (ip:port). The caller runs sendLoop and receiveLoop, each in its own
// goroutine; close ends both. receiveLoop calls the handler, one call at a time.
func newAnnouncer(address, region, zone string, handler announcementHandler) (*announcer, error) {
	localAddr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(localAddr))
	if err != nil {
		return nil, err
	}
	return &announcer{
		socket:  socket,
		region:  region,
		zone:    zone,
		own:     localAddr.Addr(),
		port:    localAddr.Port(),
		queue:   make(chan *pb.ProxyNotice, announceQueueSize),
		done:    make(chan struct{}),
		handler: handler,
	}, nil
}

// setMembers sets the list of known proxies. Announcements go to the other proxies of the announcer's region, at
// the announcer's own port number.
func (a *announcer) setMembers(members []*pb.Neighbour) {
	if a == nil {
		return
	}
	var peers []netip.AddrPort
	for _, member := range members {
		memberAddr, err := netip.ParseAddrPort(member.GetAddress())
		if err != nil || member.GetRegion() != a.region || memberAddr.Addr() == a.own || len(peers) >= maxPeers {
			continue
		}
		peers = append(peers, netip.AddrPortFrom(memberAddr.Addr(), a.port))
	}
	a.peers.Store(&peers)
}

// announce queues an announcement of a prefill for the other proxies of the region. It never blocks.
func (a *announcer) announce(announcement placement.Announcement) {
	if a == nil || announcement.Tokens <= 0 {
		return
	}
	a.enqueue(&pb.ProxyNotice{Notice: &pb.ProxyNotice_LongRead{LongRead: &pb.LongRead{
		Server: announcement.Server, Prompt: announcement.Prompt, Tokens: uint32(announcement.Tokens),
	}}})
}

// reportFailure queues an announcement of a server's failure for the other proxies of the region. It never blocks.
func (a *announcer) reportFailure(server string) {
	if a == nil {
		return
	}
	a.enqueue(&pb.ProxyNotice{Notice: &pb.ProxyNotice_ServerFailed{ServerFailed: &pb.ServerFailed{Server: server, Zone: a.zone}}})
}

// enqueue queues an announcement, or drops it if the queue is full.
func (a *announcer) enqueue(notice *pb.ProxyNotice) {
	select {
	case a.queue <- notice:
	default:
	}
}

// sendLoop sends queued announcements until the announcer is closed.
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
	peers := a.peers.Load()
	if peers == nil {
		return
	}
	datagram, err := proto.Marshal(notice)
	if err != nil {
		return
	}
	_ = a.socket.SetWriteDeadline(time.Now().Add(announceTimeout))
	for _, peer := range *peers {
		_, _ = a.socket.WriteToUDPAddrPort(datagram, peer)
	}
}

// receiveLoop receives announcements until the announcer is closed or maxReadErrors consecutive reads have failed.
func (a *announcer) receiveLoop() {
	buffer := make([]byte, maxDatagramBytes)
	var notice pb.ProxyNotice
	for failures := 0; failures < maxReadErrors; {
		size, _, err := a.socket.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			failures++
			continue
		}
		failures = 0
		if proto.Unmarshal(buffer[:size], &notice) == nil {
			a.handle(&notice)
		}
	}
}

// handle passes an announcement to the handler. Announcements of unknown kinds are ignored.
func (a *announcer) handle(notice *pb.ProxyNotice) {
	switch content := notice.GetNotice().(type) {
	case *pb.ProxyNotice_LongRead:
		a.handler.announcementReceived(placement.Announcement{
			Server: content.LongRead.GetServer(),
			Prompt: content.LongRead.GetPrompt(),
			Tokens: int(content.LongRead.GetTokens()),
		})
	case *pb.ProxyNotice_ServerFailed:
		a.handler.failureReported(content.ServerFailed.GetServer(), content.ServerFailed.GetZone())
	}
}

// close ends sendLoop and receiveLoop and closes the socket.
func (a *announcer) close() {
	if a == nil {
		return
	}
	a.closeOnce.Do(func() {
		close(a.done)
		_ = a.socket.Close()
	})
}
