package lag

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLagCountsFromTheOldestChangeThatIsLacked(t *testing.T) {
	var timeline Timeline
	require.Zero(t, timeline.Newest())
	require.Zero(t, timeline.Lag(time.Second, 0, 0))
	timeline.Record(1, 1*time.Second)
	timeline.Record(2, 2*time.Second)
	timeline.Record(5, 3*time.Second)
	require.EqualValues(t, 5, timeline.Newest())
	now := 10 * time.Second
	for sequence, expected := range []time.Duration{9, 8, 7, 7, 7, 0, 0} {
		require.Equal(t, expected*time.Second, timeline.Lag(now, uint64(sequence), 0), "reader at %d", sequence)
	}
	require.Equal(t, 4*time.Second, timeline.Lag(now, 0, 6*time.Second), "a reader that appeared after the changes")
	require.Zero(t, timeline.Lag(now, 0, now+1))
}

func TestOlderSequencesAreNotRecorded(t *testing.T) {
	var timeline Timeline
	timeline.Record(4, time.Second)
	timeline.Record(4, 2*time.Second)
	timeline.Record(3, 3*time.Second)
	require.EqualValues(t, 4, timeline.Newest())
	require.Equal(t, 9*time.Second, timeline.Lag(10*time.Second, 0, 0))
}

func TestTimelineIsBoundedAndGivesALowerBoundBeyondItsReach(t *testing.T) {
	var timeline Timeline
	for sequence := range uint64(3 * timelineCapacity) {
		timeline.Record(sequence+1, time.Duration(sequence+1)*time.Second)
	}
	now := time.Duration(3*timelineCapacity) * time.Second
	require.Equal(t, 5*time.Second, timeline.Lag(now, 3*timelineCapacity-6, 0))
	require.Equal(t, (timelineCapacity-1)*time.Second, timeline.Lag(now, 0, 0), "the lag behind the oldest stored entry")
}

func TestRecordAndLagAllocateNothing(t *testing.T) {
	var timeline Timeline
	sequence := uint64(0)
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		sequence++
		timeline.Record(sequence, time.Duration(sequence))
		timeline.Lag(time.Hour, sequence/2, 0)
	}))
}
