package placement

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxChunks is the most parts of a prompt that are looked at.
const maxChunks = 32

// ChunksError tells that a list of prompt parts cannot be read. The request may be placed without it.
type ChunksError struct {
	Header string
}

// Error implements error.
func (e *ChunksError) Error() string {
	return fmt.Sprintf("placement: %q is no list of prompt parts", e.Header)
}

// ParseChunks reads X-Fieldrelay-Prompt-Prefix (ID:TOKENS, separated by commas) and appends its parts; those
// past the 32nd are left. The error is a *ChunksError.
func ParseChunks(header string, parts []PromptChunk) ([]PromptChunk, error) {
	rest := header
	for number := 0; rest != "" && number < maxChunks; number++ {
		var entry string
		entry, rest, _ = strings.Cut(rest, ",")
		id, figure, found := strings.Cut(strings.TrimSpace(entry), ":")
		tokens, err := strconv.Atoi(figure)
		if !found || err != nil || tokens < 0 || tokens > math.MaxInt32 {
			return parts, &ChunksError{Header: header}
		}
		parts = append(parts, PromptChunk{ID: xxhash.Sum64String(id), Tokens: tokens})
	}
	return parts, nil
}

// chain is the hash of a model and a row of parts from the start of a prompt: a part is kept only together
// with every part before it.
type prefixHash uint64

// newPrefixHash starts a chain for a model.
func newPrefixHash(model string) prefixHash { return prefixHash(xxhash.Sum64String(model)) }

// with is the chain that goes on with a part.
func (c prefixHash) extend(part PromptChunk) prefixHash {
	return prefixHash(mix(uint64(c)*0x9e3779b97f4a7c15 + part.ID))
}

// mix is the finaliser of SplitMix64.
func mix(value uint64) uint64 {
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}

// prompt is what one pick needs to know of a request's prompt.
type prompt struct {
	prefixes         []prefixHash // after each part
	cumulativeTokens []int        // up to the end of each part
	totalTokens      int          // of the whole prompt
	sharedTokens     int          // of the parts but the last
	memoryTokens     int          // tokens of the whole prompt and of the answer
	affinityKey      prefixHash   // of the shared parts: what homes are drawn by
}

// read takes in a request's parts; the slices are used again.
func (p *prompt) reset(request *Request) {
	p.prefixes, p.cumulativeTokens, p.sharedTokens = p.prefixes[:0], p.cumulativeTokens[:0], 0
	p.affinityKey = newPrefixHash(request.Model)
	row, total := p.affinityKey, 0
	for i, part := range request.Chunks {
		row = row.extend(part)
		total += part.Tokens
		p.prefixes = append(p.prefixes, row)
		p.cumulativeTokens = append(p.cumulativeTokens, total)
		if i < len(request.Chunks)-1 || i == 0 {
			p.affinityKey = row
		}
		if i < len(request.Chunks)-1 {
			p.sharedTokens = total
		}
	}
	p.totalTokens = max(request.Prompt, total)
	p.memoryTokens = p.totalTokens + max(request.Generate, 0)
}

// chunkTokens is the number of tokens of one part.
func (p *prompt) chunkTokens(i int) int {
	if i == 0 {
		return p.cumulativeTokens[0]
	}
	return p.cumulativeTokens[i] - p.cumulativeTokens[i-1]
}
