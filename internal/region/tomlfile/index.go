package tomlfile

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2/unstable"
)

// keyEntry is the position of a "key = value" expression or of a table's heading in a file.
type keyEntry struct {
	key        string // key with its table, for example "replace[1].old"
	line       int    // number of the first line, counted from 1
	start, end int    // offset of the first line, and of the first line of the next entry
	blanked    bool   // whether the value had a wrong type and was blanked out
}

// keyIndex has the entries of a file in the order of their lines.
type keyIndex struct {
	entries        []keyEntry
	numberElements bool
	counts         map[string]int // number of elements found so far, by path of an array of tables
}

// newKeyIndex finds the position of every key. It returns a fault if the file is not TOML.
func newKeyIndex(data []byte, numberElements bool) (*keyIndex, *FaultError) {
	index := &keyIndex{numberElements: numberElements, counts: make(map[string]int)}
	var parser unstable.Parser
	parser.Reset(data)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		parts, offset := keySegments(node)
		key := ""
		if node.Kind == unstable.KeyValue {
			key = table + strings.Join(parts, ".")
		} else {
			key = index.tablePath(parts, node.Kind == unstable.ArrayTable)
			table = key + "."
		}
		index.add(data, key, offset)
	}
	if err := parser.Error(); err != nil {
		return nil, syntaxFault(data, err)
	}
	return index, nil
}

func keySegments(node *unstable.Node) (parts []string, offset int) {
	keys := node.Key()
	for keys.Next() {
		if len(parts) == 0 {
			offset = int(keys.Node().Raw.Offset)
		}
		parts = append(parts, string(keys.Node().Data))
	}
	return parts, offset
}

// tablePath returns the path of a table. If the format numbers elements, the path contains the indexes of the enclosing
// elements. beginsElement says that the heading is in double brackets and so begins a new element of an array of tables.
func (x *keyIndex) tablePath(parts []string, beginsElement bool) string {
	if !x.numberElements {
		return strings.Join(parts, ".")
	}
	path := ""
	for position, part := range parts {
		path = strings.TrimPrefix(path+"."+part, ".")
		if beginsElement && position == len(parts)-1 {
			x.counts[path]++
		}
		if count := x.counts[path]; count > 0 {
			path = fmt.Sprintf("%s[%d]", path, count-1)
		}
	}
	return path
}

func (x *keyIndex) add(data []byte, key string, offset int) {
	start := bytes.LastIndexByte(data[:offset], '\n') + 1
	if last := len(x.entries) - 1; last >= 0 {
		x.entries[last].end = start
	}
	line := bytes.Count(data[:start], []byte("\n")) + 1
	x.entries = append(x.entries, keyEntry{key: key, line: line, start: start, end: len(data)})
}

func syntaxFault(data []byte, err error) *FaultError {
	fault := &FaultError{Reason: err.Error()}
	var parserError *unstable.ParserError
	if errors.As(err, &parserError) {
		fault.Reason = parserError.Message
		// The highlight is a subslice of data, so their capacities differ by the offset of the highlight.
		offset := cap(data) - cap(parserError.Highlight)
		if offset >= 0 && offset <= len(data) {
			fault.Line = bytes.Count(data[:offset], []byte("\n")) + 1
		}
	}
	return fault
}

// entryAt returns the entry that a line belongs to: the last one that begins at the line or before it.
func (x *keyIndex) entryAt(line int) *keyEntry {
	found := &x.entries[0]
	for index := range x.entries {
		if x.entries[index].line > line {
			break
		}
		found = &x.entries[index]
	}
	return found
}

// isBlankedOut reports whether the value of a key was blanked out, alone or with the array that contains it.
func (x *keyIndex) isBlankedOut(key string) bool {
	for _, entry := range x.entries {
		if entry.blanked && (entry.key == key || strings.HasPrefix(key, entry.key+"[")) {
			return true
		}
	}
	return false
}

// lineOf returns the line of a key, or else of the innermost enclosing value or table in the file. It returns 0 if the file
// has none of them.
func (x *keyIndex) lineOf(key string) int {
	for key != "" {
		for _, entry := range x.entries {
			if entry.key == key {
				return entry.line
			}
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return 0
}
