package lag

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLagCountsFromTheOldestChangeThatIsLacked(t *testing.T) {
	var marks Timeline
	require.Zero(t, marks.Newest())
	require.Zero(t, marks.Lag(time.Second, 0, 0))
	marks.Record(1, 1*time.Second)
	marks.Record(2, 2*time.Second)
	marks.Record(5, 3*time.Second)
	require.EqualValues(t, 5, marks.Newest())
	now := 10 * time.Second
	for held, expected := range []time.Duration{9, 8, 7, 7, 7, 0, 0} {
		require.Equal(t, expected*time.Second, marks.Lag(now, uint64(held), 0), "held %d", held)
	}
	require.Equal(t, 4*time.Second, marks.Lag(now, 0, 6*time.Second), "a reader that came later")
	require.Zero(t, marks.Lag(now, 0, now+1))
}

func TestOlderSequencesLeaveNoMark(t *testing.T) {
	var marks Timeline
	marks.Record(4, time.Second)
	marks.Record(4, 2*time.Second)
	marks.Record(3, 3*time.Second)
	require.EqualValues(t, 4, marks.Newest())
	require.Equal(t, 9*time.Second, marks.Lag(10*time.Second, 0, 0))
}

func TestMarksAreBoundedAndTellALowerBoundBeyond(t *testing.T) {
	var marks Timeline
	for sequence := range uint64(3 * markCount) {
		marks.Record(sequence+1, time.Duration(sequence+1)*time.Second)
	}
	now := time.Duration(3*markCount) * time.Second
	require.Equal(t, 5*time.Second, marks.Lag(now, 3*markCount-6, 0))
	require.Equal(t, (markCount-1)*time.Second, marks.Lag(now, 0, 0), "the oldest mark kept")
}

func TestNotingAndMeasuringAllocateNothing(t *testing.T) {
	var marks Timeline
	sequence := uint64(0)
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		sequence++
		marks.Record(sequence, time.Duration(sequence))
		marks.Lag(time.Hour, sequence/2, 0)
	}))
}
