package placement

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestChunksAreParsedAsDocumented(t *testing.T) {
	chunks, err := ParseChunks("5c1e07a2:800, 91bd3f06:410,e4402b7d:250", nil)
	require.NoError(t, err)
	require.Len(t, chunks, 3)
	require.Equal(t, []int{800, 410, 250}, []int{chunks[0].Tokens, chunks[1].Tokens, chunks[2].Tokens})
	require.NotEqual(t, chunks[0].ID, chunks[1].ID)

	none, err := ParseChunks("", nil)
	require.NoError(t, err)
	require.Empty(t, none)
	for _, bad := range []string{"a", "a:", "a:-1", "a:x", "a:1,b", ",", "a:99999999999"} {
		_, err := ParseChunks(bad, nil)
		require.Error(t, err, bad)
	}
	many := "a:1"
	for range 100 {
		many += ",a:1"
	}
	chunks, err = ParseChunks(many, nil)
	require.NoError(t, err)
	require.Len(t, chunks, maxChunks)
}

func TestAPromptsAffinityKeyIsThatOfItsSharedChunks(t *testing.T) {
	parse := func(model string, parts ...PromptChunk) prompt {
		var p prompt
		p.reset(&Request{Model: model, Chunks: parts, PromptTokens: 10})
		return p
	}
	shared := []PromptChunk{{1, 800}, {2, 410}}
	one, other := parse("m", append(shared, PromptChunk{3, 250})...), parse("m", append(shared, PromptChunk{4, 100})...)
	require.Equal(t, one.affinityKey, other.affinityKey)
	require.Equal(t, 1210, one.sharedTokens)
	require.Equal(t, 1460, one.totalTokens)
	require.NotEqual(t, one.affinityKey, parse("n", append(shared, PromptChunk{3, 250})...).affinityKey)
	require.NotEqual(t, one.affinityKey, parse("m", PromptChunk{1, 800}, PromptChunk{5, 410}, PromptChunk{3, 250}).affinityKey)
	alone := parse("m", PromptChunk{9, 250})
	require.Zero(t, alone.sharedTokens)
	require.NotEqual(t, alone.affinityKey, parse("m", PromptChunk{8, 250}).affinityKey)
	require.Equal(t, 10, parse("m").totalTokens)
}

// TestCachedPrefixesAreThoseSentLast compares the index with a plain list of the prefixes sent to each server.
func TestCachedPrefixesAreThoseSentLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 3000
		index := newPrefixCacheIndex()
		servers := []*server{{id: "a"}, {id: "b"}}
		sent := map[*server][]prefixHash{} // newest first
		sizes := map[prefixHash]int{}
		for pick := range uint64(40) {
			to := rapid.SampledFrom(servers).Draw(t, "server")
			var p prompt
			p.reset(drawPrompt(t))
			matched := index.tokens(&p, pick+1)
			for _, s := range servers {
				want := 0
				for i, prefix := range p.prefixes {
					if !slices.Contains(sent[s], prefix) {
						break
					}
					want = p.cumulativeTokens[i]
				}
				require.Equal(t, want, matched[s])
			}
			index.insert(to, &p, capacity)
			for i := len(p.prefixes) - 1; i >= 0; i-- {
				prefix := p.prefixes[i]
				sizes[prefix] = p.chunkTokens(i)
				sent[to] = slices.DeleteFunc(sent[to], func(other prefixHash) bool { return other == prefix })
				sent[to] = slices.Insert(sent[to], 0, prefix)
			}
			for len(sent[to]) > maxCachedPrefixes || (sum(sent[to], sizes) > capacity && len(sent[to]) > len(p.prefixes)) {
				sent[to] = sent[to][:len(sent[to])-1]
			}
			require.Equal(t, len(sent[to]), to.cachedPrefixes.length)
			require.Equal(t, sum(sent[to], sizes), to.cachedPrefixes.tokens)
		}
		for _, s := range servers {
			index.removeServer(s)
			require.Zero(t, s.cachedPrefixes.length)
		}
		require.Empty(t, index.entries)
	})
}

// drawPrompt draws a request whose chunks often occur in other requests too.
func drawPrompt(t *rapid.T) *Request {
	request := &Request{}
	for i := range rapid.IntRange(0, 4).Draw(t, "parts") {
		id := rapid.Uint64Range(0, 3).Draw(t, "id")
		request.Chunks = append(request.Chunks, PromptChunk{ID: id, Tokens: 100 * (i + 1)})
	}
	return request
}

func (k *prefixCacheIndex) tokens(p *prompt, pick uint64) map[*server]int {
	k.match(p, pick)
	tokens := map[*server]int{}
	for _, entries := range k.entries {
		for _, entry := range entries {
			if entry.server.matchedPick == pick {
				tokens[entry.server] = entry.server.matchedTokens
			}
		}
	}
	return tokens
}

func sum(prefixes []prefixHash, sizes map[prefixHash]int) (total int) {
	for _, prefix := range prefixes {
		total += sizes[prefix]
	}
	return total
}
