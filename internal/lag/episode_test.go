package lag

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEpisodeTurnsOnceAtEachEnd(t *testing.T) {
	var episode Episode
	const limit = time.Second
	steps := []struct {
		figure time.Duration
		turn   Transition
	}{
		{0, Unchanged},
		{limit, Unchanged},
		{limit + 1, Began},
		{3 * time.Second, Unchanged},
		{2 * time.Second, Unchanged},
		{limit, Ended},
		{0, Unchanged},
	}
	for index, step := range steps {
		require.Equal(t, step.turn, episode.Update(step.figure, limit), "step %d", index)
		require.Equal(t, index >= 2 && index <= 4, episode.Running())
	}
	require.Equal(t, 3*time.Second, episode.Longest())
	require.Equal(t, Began, episode.Update(2*time.Second, limit))
	require.Equal(t, 2*time.Second, episode.Longest(), "of this episode")
}
