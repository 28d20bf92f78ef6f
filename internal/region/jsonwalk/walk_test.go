package jsonwalk

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// jsonValue draws a JSON value of any type, nested up to depth levels.
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
		for key, value := range Members(data) {
			got[TextOf(key)] = value
		}
		require.Len(t, got, len(want))
		for key, value := range want {
			requireCompact(t, value, got[key])
			checkElements(t, value)
		}
	})
}

func checkElements(t *rapid.T, value []byte) {
	t.Helper()
	if !IsArray(value) {
		return
	}
	var want []json.RawMessage
	require.NoError(t, json.Unmarshal(value, &want))
	index := 0
	for element := range Elements(value) {
		requireCompact(t, want[index], element)
		index++
	}
	require.Len(t, want, index)
}

// TestNoTextPanics checks that input that is not valid JSON, such as that of a damaged item, yields some parts or
// none without a panic.
func TestNoTextPanics(t *testing.T) {
	pieces := []string{`{`, `}`, `[`, `]`, `"`, `\\`, `:`, `,`, ` `, `"a"`, `1`, `null`, "\xff", `\u00`}
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 12).Draw(t, "pieces"), ""))
		walked := 0
		for key, value := range Members(text) {
			walked += len(TextOf(key)) + len(Text(value))
			require.NotEmpty(t, value)
		}
		for element := range Elements(text) {
			walked += len(Text(element))
			require.NotEmpty(t, element)
		}
		require.LessOrEqual(t, walked, 8*len(text), "each byte must be in few parts")
		Member(text, "a")
		Number(text)
	})
}

func TestMembersAreComparedExactly(t *testing.T) {
	object := []byte(`{"a":1,"A":2,"\u0062":3,"b":4,"c":5,"c":null,"d":[{"a":6}],"e":{"f":7}}`)
	require.Equal(t, "1", string(Member(object, "a")))
	require.Equal(t, "2", string(Member(object, "A")))
	require.Equal(t, "4", string(Member(object, "b")), "the last one counts, however its name is written")
	require.Nil(t, Member(object, "c"), "null counts as missing")
	require.Nil(t, Member(object, "f"))
}

func TestNumbersBeyondAFloatAreNone(t *testing.T) {
	for text, want := range map[string]bool{`1`: true, `-0.5e3`: true, `1e308`: true, `1e999`: false, `"1"`: false, `true`: false, `[1]`: false, ``: false} {
		_, ok := Number([]byte(text))
		require.Equal(t, want, ok, text)
	}
}
