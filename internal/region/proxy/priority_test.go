package proxy

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestShortPromptsAreMoreUrgent(t *testing.T) {
	for _, c := range []struct{ route, prompt, toRead, expect int }{
		{2, 0, 0, 2}, // no prompt: the route's priority
		{7, 0, 0, 7},
		{0, 600, 600, 0},
		{2, 600, 600, 1},
		{0, 9_000, 700, 0}, // cached tokens need no prefill
		{0, 1_000, 1_000, 2},
		{1, 40_000, 40_000, 9},
	} {
		require.Equal(t, c.expect, serverPriority(c.route, c.prompt, c.toRead), "%+v", c)
	}
}

func TestUrgencyNeverRisesWithSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := rapid.IntRange(0, 9).Draw(t, "route")
		toRead := rapid.IntRange(0, 50_000).Draw(t, "tokens")
		more := toRead + rapid.IntRange(0, 50_000).Draw(t, "more")
		shorter, longer := serverPriority(route, 50_000, toRead), serverPriority(route, 50_000, more)
		if shorter > longer || shorter < 0 || longer > lowestPriority {
			t.Fatalf("priority %d for %d tokens, %d for %d tokens", shorter, toRead, longer, more)
		}
	})
}
