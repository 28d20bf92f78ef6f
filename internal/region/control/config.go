package control

import (
	"math/rand/v2"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
	"fieldrelay/internal/region/register"
)

// Config holds the parameters of a Machine.
type Config struct {
	Self        *pb.Replica // this machine; the Identity is not set
	Seeds       []string    // ip:port of the operator APIs of the seed machines
	Bootstrap   bool        // setting: the cluster starts for the first time
	Requirement chain.Requirement
	// PeerAddress returns the ip:port of the peer service of the machine whose operator API has the given address.
	PeerAddress func(controlAddress string) string
	// WatchRetention is how long watches of keys may resume from a revision.
	WatchRetention time.Duration
	// RegisterLimits bound the registers of this machine.
	RegisterLimits register.Limits
	// Random must be seeded differently at each start.
	Random *rand.Rand
	// SnapshotRecords is the number of records after which a new snapshot is written to the ring; 0: snapshotRecords.
	SnapshotRecords int
	// SpuriousProposals reports at each tick whether to propose a view without need and out of turn; nil: never.
	// Simulations use it to show that competing proposals are harmless.
	SpuriousProposals func() bool
}
