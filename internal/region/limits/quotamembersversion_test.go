package limits

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

func TestOnlySharesOfOneAgentProcessHaveAnOrder(t *testing.T) {
	version := func(agent, revision uint64) *pb.QuotaMembersVersion {
		return &pb.QuotaMembersVersion{Agent: agent, Revision: revision}
	}
	tests := map[string]struct {
		received, applied *pb.QuotaMembersVersion
		outdated          bool
	}{
		"earlier":                  {version(1, 2), version(1, 3), true},
		"the same":                 {version(1, 3), version(1, 3), false},
		"later":                    {version(1, 4), version(1, 3), false},
		"of another agent process": {version(2, 1), version(1, 3), false},
		"of an older agent":        {nil, version(1, 3), false},
		"the first":                {version(1, 1), nil, false},
	}
	for name, test := range tests {
		require.Equal(t, test.outdated, IsOutdated(test.received, test.applied), name)
	}
}
