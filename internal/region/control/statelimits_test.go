package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/register"
	"fieldrelay/internal/region/settings"
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

func TestPutsBeyondTheLimitsAreRefused(t *testing.T) {
	const retention = 10 * time.Second
	limits := register.Limits{Bytes: 1 << 20, ValueBytes: 256 << 10}
	l := newConfiguredMachine(t, func(config *Config) {
		config.RegisterLimits = limits
		config.WatchRetention = retention
	})
	accepted := 0
	for index := range 400 {
		key := fmt.Sprintf("g%d.k", index%8)
		if l.put(key, fmt.Sprint(index, strings.Repeat("x", 16<<10))) == pb.CoordinationResult_OUTCOME_OK {
			accepted++
		}
	}
	assert.Greater(t, accepted, 20)
	assert.LessOrEqual(t, l.machine.CoordinationStatus().Bytes, limits.Bytes)
	assert.Equal(t, pb.CoordinationResult_OUTCOME_BUSY, l.put("g0.k", strings.Repeat("y", 512<<10)), "more than one group may have")
	assert.Positive(t, l.number(), "new locks and counters are small")
	// Puts that nobody may ask for any more make room, in groups that are not written, too.
	l.tick(int(2*retention/TickInterval) + 1)
	assert.Less(t, l.machine.CoordinationStatus().Bytes, limits.Bytes/2)
	assert.Equal(t, pb.CoordinationResult_OUTCOME_OK, l.put("g0.k", strings.Repeat("z", 16<<10)))
}

// The machines of the site files, and one whose settings say nothing: the registers can be transferred within sync-s, and
// two snapshots with the records after them fit on the disk beside a configuration.
func TestRegisterLimitsFitTheMachine(t *testing.T) {
	for name, own := range map[string]*settings.Settings{
		"1,000 Mbit/s": {Limits: settings.Limits{MemoryMB: 280, LinkMbps: 1000, DiskMB: 128}, Bounds: settings.Bounds{SyncS: 6}},
		"700 Mbit/s":   {Limits: settings.Limits{MemoryMB: 280, LinkMbps: 700, DiskMB: 128}, Bounds: settings.Bounds{SyncS: 4}},
		"30 Mbit/s":    {Limits: settings.Limits{MemoryMB: 280, LinkMbps: 30, DiskMB: 128}, Bounds: settings.Bounds{SyncS: 6}},
		"defaults":     {Limits: settings.Limits{MemoryMB: 256, LinkMbps: 100}, Bounds: settings.Bounds{SyncS: 4}},
	} {
		t.Run(name, func(t *testing.T) {
			limits := registerLimits(own)
			transfer := float64(limits.Bytes) / (own.Limits.LinkMbps * 1_000_000 / 8)
			assert.LessOrEqual(t, transfer, own.Bounds.SyncS/2)
			most := limits.Bytes + limits.Bytes/8 // with the names that are accepted beyond the limit
			file := most + most/snapshotShare + catalog.MaxConfigurationBytes
			assert.LessOrEqual(t, int64(file), maxRingBytes(own)/ringFiles)
			assert.Less(t, limits.ValueBytes, limits.Bytes)
		})
	}
}
