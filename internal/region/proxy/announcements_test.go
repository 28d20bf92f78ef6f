package proxy

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/placement"
)

// recordingHandler records the announcements that it receives.
type recordingHandler struct {
	announcements chan placement.Announcement
	failures      chan [2]string // server and zone
}

func newRecordingHandler() recordingHandler {
	return recordingHandler{announcements: make(chan placement.Announcement, 16), failures: make(chan [2]string, 16)}
}

func (e recordingHandler) announcementReceived(announcement placement.Announcement) {
	e.announcements <- announcement
}
func (e recordingHandler) failureReported(server, zone string) { e.failures <- [2]string{server, zone} }

// announcerAt starts an announcer at an address of the loopback range and returns it with its handler. All announcers
// of a test share one port.
func announcerAt(t *testing.T, address netip.AddrPort) (*announcer, recordingHandler) {
	t.Helper()
	handler := newRecordingHandler()
	announcer, err := newAnnouncer(address.String(), "west", "zone-a", handler)
	require.NoError(t, err)
	t.Cleanup(announcer.close)
	go announcer.receiveLoop()
	go announcer.sendLoop()
	return announcer, handler
}

// freePort returns a UDP port that is free on all addresses of the loopback range.
func freePort(t *testing.T) uint16 {
	t.Helper()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{})
	require.NoError(t, err)
	defer func() { _ = socket.Close() }()
	return socket.LocalAddr().(*net.UDPAddr).AddrPort().Port()
}

func nextReceived[T any](t *testing.T, from chan T) (received T) {
	t.Helper()
	select {
	case received = <-from:
	case <-time.After(10 * time.Second):
		require.Fail(t, "no announcement was received within 10 s")
	}
	return received
}

func member(address, region string) *pb.Neighbour {
	return &pb.Neighbour{Host: address, Address: address, Region: region}
}

func TestAnnouncementsReachTheProxiesOfTheRegionAlone(t *testing.T) {
	port := freePort(t)
	at := func(host byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 9, host}), port)
	}
	sender, echo := announcerAt(t, at(1))
	_, near := announcerAt(t, at(2))
	_, far := announcerAt(t, at(3))
	sender.setMembers([]*pb.Neighbour{
		member("127.0.9.1:7001", "west"), member("127.0.9.2:7001", "west"), member("127.0.9.3:7001", "east"),
		member("no address", "west"),
	})
	announcement := placement.Announcement{Server: 0x7f3a_93c1, Prompt: 1 << 31, Tokens: 9190}
	sender.announce(announcement)
	sender.announce(placement.Announcement{Server: 7}) // without tokens: not sent
	require.Equal(t, announcement, nextReceived(t, near.announcements))
	sender.reportFailure("i-7f3b")
	require.Equal(t, [2]string{"i-7f3b", "zone-a"}, nextReceived(t, near.failures))
	for _, other := range []recordingHandler{echo, far, near} {
		require.Empty(t, other.announcements)
		require.Empty(t, other.failures)
	}
}

func TestInvalidDatagramsAreIgnored(t *testing.T) {
	port := freePort(t)
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 9, 4}), port)
	_, handler := announcerAt(t, at)
	socket, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(at))
	require.NoError(t, err)
	defer func() { _ = socket.Close() }()
	for _, datagram := range [][]byte{{0xff, 0xff}, []byte("GET / HTTP/1.1"), {0x0a, 0x07, 0x0d, 0x09, 0x00, 0x00, 0x00, 0x18, 0x05}} {
		_, err := socket.Write(datagram)
		require.NoError(t, err)
	}
	require.Equal(t, placement.Announcement{Server: 9, Tokens: 5}, nextReceived(t, handler.announcements))
}

func TestAnnounceNeverBlocks(t *testing.T) {
	announcer, err := newAnnouncer("127.0.9.5:0", "west", "zone-a", newRecordingHandler())
	require.NoError(t, err)
	defer announcer.close()
	for range 10 * announceQueueSize { // sendLoop doesn't run
		announcer.announce(placement.Announcement{Server: 9, Tokens: 1})
	}
	require.Len(t, announcer.queue, announceQueueSize)
}

func TestNilAnnouncerDoesNothing(t *testing.T) {
	var none *announcer
	none.reportFailure("x")
	none.announce(placement.Announcement{Server: 9, Tokens: 1})
	none.setMembers(nil)
	none.close()
}

func TestAnnouncerReportsUnusableAddresses(t *testing.T) {
	announcer, err := newAnnouncer("127.0.9.6:0", "west", "zone-a", nil)
	require.NoError(t, err)
	defer announcer.close()
	_, err = newAnnouncer(announcer.socket.LocalAddr().String(), "west", "zone-a", nil)
	require.Error(t, err)
	_, err = newAnnouncer("nowhere", "west", "zone-a", nil)
	require.Error(t, err)
}

func TestAServerIsReportedOnceASecond(t *testing.T) {
	d := newDispatcher(&fakePlacer{}, nil)
	require.True(t, d.mayReport("i-1"))
	require.False(t, d.mayReport("i-1"))
	require.True(t, d.mayReport("i-2"))
	d.start = d.start.Add(-reportInterval)
	require.True(t, d.mayReport("i-1"))
	d.start = d.start.Add(-2 * reportInterval)
	d.expireReports()
	require.Empty(t, d.lastReport)
}
