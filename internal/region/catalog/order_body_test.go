package catalog

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against panics on malformed bodies: every body of an order leads to a change or an OrderError.
func TestNoBodyPanics(t *testing.T) {
	start := []byte(`{"gen":7,"routes":[{"name":"r","vhost":"h","path-prefix":"/","split":[{"backend":"s","share":1}]}],` +
		`"backends":[{"name":"s"}],"upsert":{"routes":[{"name":"q"}]},"remove":{"routes":["r"]}}`)
	values := []string{`null`, `1`, `"x"`, `[]`, `{}`, `[1]`, `{"name":null}`, `-0`, `1e999`, `true`}
	rapid.Check(t, func(t *rapid.T) {
		body := bytes.Clone(start)
		for range rapid.IntRange(1, 4).Draw(t, "edits") {
			at := rapid.IntRange(0, len(body)-1).Draw(t, "at")
			if end := valueEndIfAny(body, at); end > at {
				replacement := rapid.SampledFrom(values).Draw(t, "value")
				body = append(append(bytes.Clone(body[:at]), replacement...), body[end:]...)
			}
		}
		if rapid.IntRange(0, 9).Draw(t, "cut") == 0 {
			body = body[:rapid.IntRange(0, len(body)).Draw(t, "length")]
		}
		for _, kind := range []orderKind{orderReplace, orderAmend} {
			change, err := prepare(Empty(), kind, 0, body)
			if err == nil {
				_, err = Empty().Apply(change)
				require.NoError(t, err)
				continue
			}
			var answer OrderError
			require.ErrorAs(t, err, &answer)
		}
	})
}

// valueEndIfAny returns the end of the value that begins at an offset of valid JSON, or 0.
func valueEndIfAny(body []byte, at int) int {
	if !json.Valid(body) || !bytes.ContainsRune([]byte(`"{[123456789`), rune(body[at])) {
		return 0
	}
	for end := at + 1; end <= len(body); end++ {
		if json.Valid(body[at:end]) {
			return end
		}
	}
	return 0
}
