package placement

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxChunks is the maximum number of chunks of a prompt that are parsed; later chunks are ignored.
const maxChunks = 32

// PromptChunk is a contiguous run of tokens of a prompt. Chunks may be shared between requests, except for the last
// chunk of a request, which is specific to the request or its session.
type PromptChunk struct {
	ID     uint64 // hash of the chunk's name
	Tokens int
}

// ChunksError reports that a list of prompt chunks cannot be parsed. The request can be placed without the list.
type ChunksError struct {
	Header string // value of X-Fieldrelay-Prompt-Prefix
}

// Error implements error.
func (e *ChunksError) Error() string {
	return fmt.Sprintf("placement: prompt chunks %q do not have the form ID:TOKENS,...", e.Header)
}

// ParseChunks parses a value of the header X-Fieldrelay-Prompt-Prefix (ID:TOKENS, separated by commas) and appends its
// chunks to chunks. Chunks after the 32nd are ignored. Its error is a *ChunksError, with which the chunks before the
// invalid entry are returned.
func ParseChunks(header string, chunks []PromptChunk) ([]PromptChunk, error) {
	rest := header
	for number := 0; rest != "" && number < maxChunks; number++ {
		var entry string
		entry, rest, _ = strings.Cut(rest, ",")
		id, count, found := strings.Cut(strings.TrimSpace(entry), ":")
		tokens, err := strconv.Atoi(count)
		if !found || err != nil || tokens < 0 || tokens > math.MaxInt32 {
			return chunks, &ChunksError{Header: header}
		}
		chunks = append(chunks, PromptChunk{ID: xxhash.Sum64String(id), Tokens: tokens})
	}
	return chunks, nil
}
