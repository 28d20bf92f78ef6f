package placement

import (
	"github.com/cespare/xxhash/v2"

	"fieldrelay/internal/region/splitmix"
)

// prefixHash is the hash of a model and of a prompt's chunks from the first up to one of them. A server can use a cached
// chunk only if all chunks before it are cached too.
type prefixHash uint64

// newPrefixHash returns the hash of a model without any chunk.
func newPrefixHash(model string) prefixHash { return prefixHash(xxhash.Sum64String(model)) }

// extend returns the hash of the prefix extended by a chunk.
func (h prefixHash) extend(chunk PromptChunk) prefixHash {
	return prefixHash(splitmix.Mix(uint64(h)*0x9e3779b97f4a7c15 + chunk.ID))
}

// prompt holds the properties of a request's prompt that a pick uses.
type prompt struct {
	prefixes         []prefixHash // by chunk: hash of the prefix that ends with the chunk
	cumulativeTokens []int        // by chunk: number of tokens of the prefix that ends with the chunk
	totalTokens      int          // tokens of the whole prompt
	sharedTokens     int          // tokens of all chunks but the last
	memoryTokens     int          // tokens of the whole prompt and of the longest possible answer
	affinityKey      prefixHash   // hash of the shared chunks, which determines the affinity server
}

// reset sets p to the prompt of a request, and reuses the slices of p.
func (p *prompt) reset(request *Request) {
	p.prefixes, p.cumulativeTokens, p.sharedTokens = p.prefixes[:0], p.cumulativeTokens[:0], 0
	p.affinityKey = newPrefixHash(request.Model)
	prefix, total := p.affinityKey, 0
	for i, chunk := range request.Chunks {
		prefix = prefix.extend(chunk)
		total += chunk.Tokens
		p.prefixes = append(p.prefixes, prefix)
		p.cumulativeTokens = append(p.cumulativeTokens, total)
		shared := i < len(request.Chunks)-1
		if shared || i == 0 {
			p.affinityKey = prefix
		}
		if shared {
			p.sharedTokens = total
		}
	}
	p.totalTokens = max(request.PromptTokens, total)
	p.memoryTokens = p.totalTokens + max(request.MaxOutputTokens, 0)
}

// chunkTokens returns the number of tokens of one chunk.
func (p *prompt) chunkTokens(i int) int {
	if i == 0 {
		return p.cumulativeTokens[0]
	}
	return p.cumulativeTokens[i] - p.cumulativeTokens[i-1]
}
