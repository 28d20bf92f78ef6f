package catalog

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// jsonValue draws a value of any kind.
func jsonValue(depth int) *rapid.Generator[any] {
	scalars := []*rapid.Generator[any]{
		rapid.Just[any](nil),
		rapid.Bool().AsAny(),
		rapid.Float64Range(-1e9, 1e9).AsAny(),
		rapid.StringN(0, 6, -1).AsAny(),
		rapid.SampledFrom([]any{`\`, `"`, `]}`, `\"`, `{[`}),
	}
	if depth == 0 {
		return rapid.OneOf(scalars...)
	}
	inner := jsonValue(depth - 1)
	lists := rapid.SliceOfN(inner, 0, 4).AsAny()
	objects := rapid.MapOfN(rapid.StringN(0, 4, -1), inner, 0, 4).AsAny()
	return rapid.OneOf(append(scalars, lists, objects)...)
}

func requireCompact(t require.TestingT, want, got []byte) {
	var first, second bytes.Buffer
	require.NoError(t, json.Compact(&first, want))
	require.NoError(t, json.Compact(&second, got))
	require.Equal(t, first.String(), second.String())
}

func TestWalkAgreesWithTheLibrary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		object := rapid.MapOfN(rapid.StringN(0, 4, -1), jsonValue(3), 0, 5).Draw(t, "object")
		data, err := json.Marshal(object)
		require.NoError(t, err)
		if rapid.Bool().Draw(t, "indent") {
			var indented bytes.Buffer
			require.NoError(t, json.Indent(&indented, data, " \t", "\r\n"))
			data = indented.Bytes()
		}
		var want map[string]json.RawMessage
		require.NoError(t, json.Unmarshal(data, &want))
		got := make(map[string][]byte)
		for key, value := range members(data) {
			got[textOf(key)] = value
		}
		require.Len(t, got, len(want))
		for key, value := range want {
			requireCompact(t, value, got[key])
			checkElements(t, value)
		}
	})
}

func checkElements(t *rapid.T, value []byte) {
	if !isArray(value) {
		return
	}
	var want []json.RawMessage
	require.NoError(t, json.Unmarshal(value, &want))
	index := 0
	for element := range elements(value) {
		requireCompact(t, want[index], element)
		index++
	}
	require.Len(t, want, index)
}

// TestNoBodyPanics: whatever the operator's call carries gets an answer.
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
			var refused OrderError
			require.ErrorAs(t, err, &refused)
		}
	})
}

// valueEndIfAny returns the end of the value that begins at a place of valid JSON, or 0.
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
