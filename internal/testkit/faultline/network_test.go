package faultline

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A partition of either direction delays the opening of a connection until the partition ends.
func TestACutHoldsUpTheOpeningOfAConnection(t *testing.T) {
	target, _ := peer(t)
	network := NewNetwork(1)
	defer network.Close()
	link, err := network.Open(Way{"a", "b"}, target)
	require.NoError(t, err)
	short := &Dialer{Links: map[string]string{target: link}, Limit: 50 * time.Millisecond}
	long := &Dialer{Links: short.Links, Limit: 10 * time.Second}
	for _, cut := range []Way{{"a", "b"}, {"b", "a"}} {
		remove := network.Add(Effect{Covers: func(direction Way) bool { return direction == cut }, Fault: Fault{Drop: true}})
		_, err = short.DialContext(t.Context(), "tcp", target)
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		time.AfterFunc(20*time.Millisecond, remove)
		connection, err := long.DialContext(t.Context(), "tcp", target)
		require.NoError(t, err)
		require.NoError(t, connection.Close())
	}
}

func TestAConnectionToNobodyIsRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	target := listener.Addr().String()
	require.NoError(t, listener.Close())
	network := NewNetwork(1)
	defer network.Close()
	link, err := network.Open(Way{"a", "b"}, target)
	require.NoError(t, err)
	dialer := &Dialer{Links: map[string]string{target: link}, Limit: 10 * time.Second}
	_, err = dialer.DialContext(t.Context(), "tcp", target)
	require.Error(t, err)
}

func TestEffectsOnAWayAddUp(t *testing.T) {
	network := NewNetwork(1)
	all := func(Way) bool { return true }
	network.Add(Effect{Covers: all, Fault: Fault{Delay: time.Second, Rate: 10}})
	remove := network.Add(Effect{Covers: all, Fault: Fault{Delay: time.Second, Rate: 5, Drop: true}})
	network.Add(Effect{Covers: func(direction Way) bool { return direction.From == "c" }, Fault: Fault{Rate: 1}})
	require.Equal(t, Fault{Delay: 2 * time.Second, Rate: 5, Drop: true}, network.sum(Way{"a", "b"}))
	remove()
	require.Equal(t, Fault{Delay: time.Second, Rate: 10}, network.sum(Way{"a", "b"}))
}

// A caller that waits for the announcement does not receive it while a direction drops, as if the TCP handshake did not
// complete.
func TestAnAnnouncingLinkTellsWhenTheTargetIsReached(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = target.Close() }()
	link, err := NewLink("a b", "127.0.0.1", target.Addr().String(), 1)
	require.NoError(t, err)
	defer link.Close()
	link.Announce()
	link.Set(Fault{}, Fault{Drop: true})
	connection, err := net.Dial("tcp", link.Addr())
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	first := make([]byte, 1)
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = connection.Read(first)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)

	link.Set(Fault{}, Fault{})
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = connection.Read(first)
	require.NoError(t, err)
	require.Equal(t, []byte{Announcement}, first)
}
