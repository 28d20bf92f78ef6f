package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// put submits a put to a key and returns its outcome. The call must be answered at once.
func (l *singleMachine) put(key, value string) pb.CoordinationResult_Outcome {
	l.t.Helper()
	l.lastRequest++
	count := len(l.callReplies)
	call := &pb.CoordinationCall{Operation: &pb.CoordinationCall_Put{Put: &pb.PutKey{Name: key, Value: value}}}
	l.step(CallSubmitted{Request: l.lastRequest, Call: call})
	require.Len(l.t, l.callReplies, count+1)
	return l.callReplies[count].GetOutcome()
}

// Guards against a disk and a processor that write the whole state again and again: each quarter of a megabyte of puts
// brought a snapshot of all registers, however large they were.
func TestSnapshotsAreInProportionToThePuts(t *testing.T) {
	const puts, valueBytes, mostTimes = 400, 20 << 10, 4
	l := newConfiguredMachine(t, func(config *Config) {
		config.SnapshotRecords = 0
		config.WatchRetention = time.Hour
	})
	for index := range puts {
		value := fmt.Sprint(index, strings.Repeat("x", valueBytes))
		require.Equal(t, pb.CoordinationResult_OUTCOME_OK, l.put(fmt.Sprintf("g%d.k", index%8), value))
	}
	assert.Less(t, l.snapshotBytes, mostTimes*l.recordBytes)
	l.restart()
	assert.Equal(t, 8, l.machine.CoordinationStatus().Registers)
}

