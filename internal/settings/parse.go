package settings

import (
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Parse reads the content of a settings file. If it is at fault, the error is a *FaultsError that lists all
// faults.
func Parse(data []byte) (*Settings, error) {
	expressions, err := indexExpressions(data)
	if err != nil {
		return nil, err
	}
	settings, faults, err := decode(data, expressions)
	if err != nil {
		return nil, err
	}
	ofWrongType := make(map[string]bool, len(faults))
	for _, fault := range faults {
		ofWrongType[fault.Key] = true
	}
	for _, fault := range settings.validate() {
		if ofWrongType[fault.Key] {
			continue
		}
		fault.Line = lineOf(expressions, fault.Key)
		faults = append(faults, fault)
	}
	if err := joinFaults(faults); err != nil {
		return nil, err
	}
	return settings, nil
}

// expression is the place of a "key = value" or of a table's heading in the file.
type expression struct {
	key   string // with its table
	line  int    // counted from 1
	start int    // offset of the first byte of its line
	end   int    // offset after its last line
}

// indexExpressions finds the place of every key. The error, for a file that is not TOML, is a *FaultsError.
func indexExpressions(data []byte) ([]expression, error) {
	var expressions []expression
	var parser unstable.Parser
	parser.Reset(data)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		key, offset := joinKey(node)
		if node.Kind == unstable.KeyValue {
			key = table + key
		} else {
			table = key + "."
		}
		start := bytes.LastIndexByte(data[:offset], '\n') + 1
		line := bytes.Count(data[:start], []byte("\n")) + 1
		if len(expressions) > 0 {
			expressions[len(expressions)-1].end = start
		}
		expressions = append(expressions, expression{key: key, line: line, start: start, end: len(data)})
	}
	if err := parser.Error(); err != nil {
		return nil, syntaxFault(data, err)
	}
	return expressions, nil
}

func joinKey(node *unstable.Node) (key string, offset int) {
	var parts []string
	keys := node.Key()
	for keys.Next() {
		if len(parts) == 0 {
			offset = int(keys.Node().Raw.Offset)
		}
		parts = append(parts, string(keys.Node().Data))
	}
	return strings.Join(parts, "."), offset
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

// decode fills in the settings. The decoder stops at a value of the wrong type: the value is noted as a fault
// and blanked out, and decoding begins anew, so that all of them are found.
func decode(data []byte, expressions []expression) (*Settings, []*Fault, error) {
	remaining := bytes.Clone(data)
	var faults []*Fault
	for range len(expressions) + 1 {
		settings := defaults()
		err := toml.Unmarshal(remaining, settings)
		if err == nil {
			return settings, faults, nil
		}
		var decodeError *toml.DecodeError
		if !errors.As(err, &decodeError) {
			return nil, nil, joinFaults([]*Fault{{Reason: err.Error()}})
		}
		line, _ := decodeError.Position()
		broken := expressionAt(expressions, line)
		reason := strings.TrimPrefix(decodeError.Error(), "toml: ")
		faults = append(faults, &Fault{Key: broken.key, Line: line, Reason: reason})
		blank(remaining[broken.start:broken.end])
	}
	return nil, nil, joinFaults(faults)
}

func expressionAt(expressions []expression, line int) expression {
	var last expression
	for _, candidate := range expressions {
		if candidate.line > line {
			break
		}
		last = candidate
	}
	return last
}

// blank overwrites text with spaces and keeps the lines.
func blank(data []byte) {
	for index, character := range data {
		if character != '\n' {
			data[index] = ' '
		}
	}
}

// lineOf returns the line of a key, or of the table or value that it lies in; 0 if there is none.
func lineOf(expressions []expression, key string) int {
	for key != "" {
		for _, candidate := range expressions {
			if candidate.key == key {
				return candidate.line
			}
		}
		key = key[:max(strings.LastIndexByte(key, '.'), 0)]
	}
	return 0
}
