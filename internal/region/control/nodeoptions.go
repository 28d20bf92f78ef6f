package control

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"strconv"

	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
	"fieldrelay/internal/region/ring"
	"fieldrelay/internal/region/settings"
)

// Dial opens a connection, like net.Dialer.DialContext. It must limit its own duration.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a Node. Its functions are called by the loop of the Node and must not block.
type Options struct {
	Settings *settings.Settings
	Logger   *zap.Logger
	// ControlAddress is the ip:port of this machine's operator API.
	ControlAddress string
	// SoftState returns the agent records and the version of the server list that each heartbeat carries in addition to
	// the agreed state; nil: heartbeats carry neither.
	SoftState func() ([]*pb.AgentRecord, *pb.ListVersion)
	// OnHeartbeat is called with each heartbeat of another control machine; it may be nil.
	OnHeartbeat func(from *pb.Replica, heartbeat *pb.Heartbeat)
	// OnServerList is called with each server list of another control machine; it may be nil.
	OnServerList func(list *pb.ServerList)
	// PeerAddress returns the ip:port of a seed's peer service; nil: the seed's ip and the first port of the port range
	// in the settings.
	PeerAddress func(seed string) string
	// Dial opens connections to other control machines; nil: plain TCP.
	Dial Dial
	// Storage holds the ring; nil: a folder under the state folder of the settings.
	Storage ring.Storage
}

// machineConfig derives the Config of the Machine from the settings.
func machineConfig(options Options) Config {
	own := options.Settings
	peerAddress := options.PeerAddress
	if peerAddress == nil {
		peerAddress = peerAddressOf(own)
	}
	return Config{
		Self: &pb.Replica{
			Host:           own.Hostname,
			Address:        own.Port(0),
			Zone:           own.Zone,
			Region:         own.RegionOf(own.Zone),
			ControlAddress: options.ControlAddress,
		},
		Seeds:     own.Seeds,
		Bootstrap: own.Bootstrap,
		Requirement: chain.Requirement{
			Replicas: own.FaultBudget.Hosts + 1,
			Zones:    own.FaultBudget.Zones + 1,
			Regions:  own.FaultBudget.Regions + 1,
		},
		PeerAddress:    peerAddress,
		WatchRetention: own.Bounds.Retain(),
		RegisterLimits: registerLimits(own),
		Random:         newRandom(),
	}
}

// newRandom returns a random source that is seeded differently at each start.
func newRandom() *rand.Rand {
	var seed [16]byte
	_, _ = crand.Read(seed[:]) // crypto/rand.Read never returns an error
	return rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:]), binary.LittleEndian.Uint64(seed[8:])))
}

// peerAddressOf returns the function that derives the address of a seed's peer service: all machines use the same
// ports.
func peerAddressOf(own *settings.Settings) func(string) string {
	port := strconv.Itoa(own.PortRange[0])
	return func(seed string) string {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			return ""
		}
		return net.JoinHostPort(host, port)
	}
}
