package control

import (
	"math/rand/v2"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
)

// Config is what a Machine must know at its start.
type Config struct {
	Self        *pb.Replica // without an identity
	Seeds       []string    // ip:port of operator's APIs
	Bootstrap   bool        // the whole system starts for the first time
	Requirement chain.Requirement
	// PeerAddress gives the ip:port of the peer service of a machine known by its operator's API.
	PeerAddress func(controlAddress string) string
	// WatchRetention is for how long watches of keys may resume from a revision.
	WatchRetention time.Duration
	// Random must differ from start to start.
	Random *rand.Rand
	// SnapshotRecords is the number of records after which the ring gets a new snapshot; 0: the default.
	SnapshotRecords int
	// SpuriousProposals says at each tick whether to propose another view without need and out of turn; nil: never.
	// It is for simulations: proposals that compete must do no harm.
	SpuriousProposals func() bool
}
