package socket

import (
	"net"
)

// pairAttempts is the maximum number of ports tried until one is free for both TCP and UDP.
const pairAttempts = 20

// Pair listens for TCP and UDP at one address, host:port. Port 0 selects a port that is free for both.
func Pair(address string) (*net.TCPListener, *net.UDPConn, error) {
	for tries := pairAttempts; ; tries-- {
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			return nil, nil, err
		}
		udp, err := net.ListenPacket("udp", tcp.Addr().String())
		if err == nil {
			return tcp.(*net.TCPListener), udp.(*net.UDPConn), nil
		}
		_ = tcp.Close()
		if _, port, _ := net.SplitHostPort(address); port != "0" || tries == 1 {
			return nil, nil, err
		}
	}
}
