package lag

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEpisodeBeginsAndEndsOnce(t *testing.T) {
	var episode Episode
	const threshold = time.Second
	steps := []struct {
		value      time.Duration
		transition Transition
	}{
		{0, Unchanged},
		{threshold, Unchanged},
		{threshold + 1, Began},
		{3 * time.Second, Unchanged},
		{2 * time.Second, Unchanged},
		{threshold, Ended},
		{0, Unchanged},
	}
	for index, step := range steps {
		require.Equal(t, step.transition, episode.Update(step.value, threshold), "step %d", index)
		require.Equal(t, index >= 2 && index <= 4, episode.running)
	}
	require.Equal(t, 3*time.Second, episode.Peak())
	require.Equal(t, Began, episode.Update(2*time.Second, threshold))
	require.Equal(t, 2*time.Second, episode.Peak(), "the highest value of the second episode alone")
}
