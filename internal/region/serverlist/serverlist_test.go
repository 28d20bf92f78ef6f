package serverlist

import (
	"cmp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

func TestVersionsAreOrderedByEpochOwnerRevision(t *testing.T) {
	ordered := []*pb.ListVersion{
		nil,
		{Epoch: 1, Holder: "a", Revision: 9},
		{Epoch: 1, Holder: "b", Revision: 1},
		{Epoch: 1, Holder: "b", Revision: 2},
		{Epoch: 2, Holder: "a", Revision: 1},
	}
	for first := range ordered {
		for second := range ordered {
			got := CompareVersions(ordered[first], ordered[second])
			require.Equal(t, cmp.Compare(first, second), got, "%d, %d", first, second)
		}
	}
}

var testTolerances = Tolerances{
	WarmUpLater: 100 * time.Millisecond, WarmUpEarlier: time.Second,
	ExpiryLater: 200 * time.Millisecond, ExpiryEarlier: 300 * time.Millisecond,
}

func TestRemainingTimesMayDriftWithinTheTolerances(t *testing.T) {
	const elapsed = time.Second
	cases := map[string]struct {
		warmLeftMs, expiresMs uint32 // values after elapsed; the earlier values are 5000 and 9000
		same                  bool
	}{
		"as expected":             {4000, 8000, true},
		"warm-up at its latest":   {4100, 8000, true},
		"warm-up too late":        {4101, 8000, false},
		"warm-up at its earliest": {3000, 8000, true},
		"warm-up too early":       {2999, 8000, false},
		"expiry at its latest":    {4000, 8200, true},
		"expiry too late":         {4000, 8201, false},
		"expiry at its earliest":  {4000, 7700, true},
		"expiry too early":        {4000, 7699, false},
		"expiry no longer known":  {4000, 0, false},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			before := []*pb.Server{{Id: "a", WarmLeftMs: 5000, ExpiresMs: 9000}}
			after := []*pb.Server{{Id: "a", WarmLeftMs: one.warmLeftMs, ExpiresMs: one.expiresMs}}
			require.Equal(t, one.same, testTolerances.Same(before, after, elapsed))
		})
	}
}

func TestServersAreTheSameOnlyInEveryField(t *testing.T) {
	server := &pb.Server{
		Id: "a", Service: "s", Address: "10.0.0.1:80", Zone: "z", Capacity: 4, Software: "v1", Models: []string{"m"},
	}
	changes := map[string]func(*pb.Server){
		"id":         func(s *pb.Server) { s.Id = "b" },
		"service":    func(s *pb.Server) { s.Service = "t" },
		"address":    func(s *pb.Server) { s.Address = "10.0.0.2:80" },
		"zone":       func(s *pb.Server) { s.Zone = "y" },
		"capacity":   func(s *pb.Server) { s.Capacity = 5 },
		"draining":   func(s *pb.Server) { s.Draining = true },
		"software":   func(s *pb.Server) { s.Software = "v2" },
		"models":     func(s *pb.Server) { s.Models = []string{"m", "n"} },
		"an expiry":  func(s *pb.Server) { s.ExpiresMs = 1 },
		"warming up": func(s *pb.Server) { s.WarmLeftMs = 500 },
	}
	for name, change := range changes {
		changed := proto.CloneOf(server)
		require.True(t, testTolerances.Same([]*pb.Server{server}, []*pb.Server{changed}, 0))
		change(changed)
		require.False(t, testTolerances.Same([]*pb.Server{server}, []*pb.Server{changed}, 0), name)
	}
	require.False(t, testTolerances.Same([]*pb.Server{server}, nil, 0))
}
