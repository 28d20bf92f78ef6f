package planfile

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Parse reads the content of a file. If it is at fault, the error is a *FaultsError that lists all faults.
func Parse(data []byte) (*File, error) {
	index, err := indexKeys(data)
	if err != nil {
		return nil, err
	}
	file, faults, err := index.decode(data)
	if err != nil {
		return nil, err
	}
	for _, fault := range file.validate() {
		if !index.isBlank(fault.Key) {
			fault.Line = index.lineOf(fault.Key)
			faults = append(faults, fault)
		}
	}
	if err := joinFaults(faults); err != nil {
		return nil, err
	}
	return file, nil
}

// place is where a "key = value" or a table's heading stands.
type place struct {
	key        string // with its table, for example "replace[1].old"
	line       int    // counted from 1
	start, end int    // offsets of its first line and of the next place
	blank      bool   // it had a fault already
}

type keyIndex struct {
	places []place
	counts map[string]int // of the elements so far, by path of an array of tables
}

// indexKeys finds the place of every key. The error, for a file that is not TOML, is a *FaultsError.
func indexKeys(data []byte) (*keyIndex, error) {
	index := &keyIndex{counts: make(map[string]int)}
	var parser unstable.Parser
	parser.Reset(data)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		parts, offset := keyParts(node)
		key := ""
		switch node.Kind {
		case unstable.KeyValue:
			key = table + strings.Join(parts, ".")
		case unstable.ArrayTable:
			key = index.resolve(parts, true)
			table = key + "."
		default:
			key = index.resolve(parts, false)
			table = key + "."
		}
		index.add(data, key, offset)
	}
	if err := parser.Error(); err != nil {
		return nil, syntaxFault(data, err)
	}
	return index, nil
}

func keyParts(node *unstable.Node) (parts []string, offset int) {
	keys := node.Key()
	for keys.Next() {
		if len(parts) == 0 {
			offset = int(keys.Node().Raw.Offset)
		}
		parts = append(parts, string(keys.Node().Data))
	}
	return parts, offset
}

// resolve names a table by the elements that it lies in; a heading in double brackets begins a new element.
func (x *keyIndex) resolve(parts []string, begins bool) string {
	path := ""
	for position, part := range parts {
		path = strings.TrimPrefix(path+"."+part, ".")
		if begins && position == len(parts)-1 {
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
	if last := len(x.places) - 1; last >= 0 {
		x.places[last].end = start
	}
	line := bytes.Count(data[:start], []byte("\n")) + 1
	x.places = append(x.places, place{key: key, line: line, start: start, end: len(data)})
}

func syntaxFault(data []byte, err error) error {
	fault := &Fault{Reason: err.Error()}
	var parserError *unstable.ParserError
	if errors.As(err, &parserError) {
		fault.Reason = parserError.Message
		offset := cap(data) - cap(parserError.Highlight)
		if offset >= 0 && offset <= len(data) {
			fault.Line = bytes.Count(data[:offset], []byte("\n")) + 1
		}
	}
	return joinFaults([]*Fault{fault})
}

// decode fills in the file. The decoder stops at a value of the wrong type: the value is noted as a fault and
// blanked out, and decoding begins anew, so that all of them are found.
func (x *keyIndex) decode(data []byte) (*File, []*Fault, error) {
	remaining := bytes.Clone(data)
	var faults []*Fault
	for range len(x.places) + 1 {
		file := &File{}
		decoder := toml.NewDecoder(bytes.NewReader(remaining))
		decoder.DisallowUnknownFields()
		err := decoder.Decode(file)
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			return file, append(faults, x.unknownFaults(unknown)...), nil
		}
		if err == nil {
			return file, faults, nil
		}
		var decodeError *toml.DecodeError
		if !errors.As(err, &decodeError) {
			return nil, nil, joinFaults([]*Fault{{Reason: err.Error()}})
		}
		line, _ := decodeError.Position()
		broken := x.placeAt(line)
		broken.blank = true
		reason := strings.TrimPrefix(decodeError.Error(), "toml: ")
		faults = append(faults, &Fault{Key: broken.key, Line: line, Reason: reason})
		blankOut(remaining[broken.start:broken.end])
	}
	return nil, nil, joinFaults(faults)
}

func (x *keyIndex) unknownFaults(unknown *toml.StrictMissingError) []*Fault {
	var faults []*Fault
	for index := range unknown.Errors {
		line, _ := unknown.Errors[index].Position()
		faults = append(faults, &Fault{Key: x.placeAt(line).key, Line: line, Reason: "is not known"})
	}
	return faults
}

func (x *keyIndex) placeAt(line int) *place {
	found := &x.places[0]
	for index := range x.places {
		if x.places[index].line > line {
			break
		}
		found = &x.places[index]
	}
	return found
}

// blankOut overwrites text with spaces and keeps the lines.
func blankOut(data []byte) {
	for index, character := range data {
		if character != '\n' {
			data[index] = ' '
		}
	}
}

func (x *keyIndex) isBlank(key string) bool {
	for _, one := range x.places {
		if one.blank && (one.key == key || strings.HasPrefix(key, one.key+"[")) {
			return true
		}
	}
	return false
}

// lineOf returns the line of a key, or of the table or value that it lies in; 0 if there is none.
func (x *keyIndex) lineOf(key string) int {
	for key != "" {
		for _, one := range x.places {
			if one.key == key {
				return one.line
			}
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return 0
}
