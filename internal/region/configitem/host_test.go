package configitem

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestCanonicalHosts(t *testing.T) {
	cases := map[string]string{
		"h.example":       "h.example",
		"H.Example":       "h.example",
		"h.example:80":    "h.example",
		"h.example:":      "h.example",
		"[2001:DB8::1]":   "[2001:db8::1]",
		"[::1]:80":        "[::1]",
		"2001:db8::1":     "2001:db8::1", // without brackets there is no port; clients do not send this form
		"h.example:80:81": "h.example:80:81",
		"H\u00c9.example": "h\u00e9.example",
		":80":             "",
	}
	for host, want := range cases {
		require.Equal(t, want, CanonicalHost(host), host)
	}
}

// TestCanonicalHostsStayAsTheyAre checks that CanonicalHost is idempotent, because a look-up may treat a name as
// canonical that merely looks so.
func TestCanonicalHostsStayAsTheyAre(t *testing.T) {
	hosts := rapid.StringOfN(rapid.SampledFrom([]rune("aZ:.[]1\u00c9\u0130\u212a")), 0, 10, -1)
	rapid.Check(t, func(t *rapid.T) {
		canonical := CanonicalHost(hosts.Draw(t, "host"))
		require.Equal(t, canonical, CanonicalHost(canonical))
	})
}
