package catalog

import (
	"bytes"
	"encoding/json"
	"iter"
	"unicode/utf8"
)

// The functions in this file walk over JSON that json.Valid has accepted and that has no space around it.
// They look at each byte once and copy nothing, so that a configuration of thousands of routes is checked in a
// few milliseconds.

// trimJSON drops the white space around a value.
func trimJSON(data []byte) []byte { return bytes.Trim(data, " \t\r\n") }

func isObject(value []byte) bool { return len(value) > 0 && value[0] == '{' }
func isArray(value []byte) bool  { return len(value) > 0 && value[0] == '[' }
func isString(value []byte) bool { return len(value) > 0 && value[0] == '"' }
func isNull(value []byte) bool   { return string(value) == "null" }

// members yields the members of an object in the order of the text, each value as a part of it. Keys may be
// compared, or decoded by textOf.
func members(object []byte) iter.Seq2[[]byte, []byte] {
	return func(yield func(key, value []byte) bool) {
		position := skipSpace(object, 1)
		for object[position] != '}' {
			keyEnd := valueEnd(object, position)
			key := inner(object[position:keyEnd])
			colon := skipSpace(object, keyEnd)
			start := skipSpace(object, colon+1)
			end := valueEnd(object, start)
			if !yield(key, object[start:end]) {
				return
			}
			position = nextElement(object, end)
		}
	}
}

// elements yields the elements of an array, each as a part of the text.
func elements(array []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		position := skipSpace(array, 1)
		for array[position] != ']' {
			end := valueEnd(array, position)
			if !yield(array[position:end]) {
				return
			}
			position = nextElement(array, end)
		}
	}
}

// nextElement returns the place of the next key or element, or of the closing bracket, after a value.
func nextElement(data []byte, position int) int {
	position = skipSpace(data, position)
	if data[position] == ',' {
		position = skipSpace(data, position+1)
	}
	return position
}

func skipSpace(data []byte, position int) int {
	for {
		switch data[position] {
		case ' ', '\t', '\r', '\n':
			position++
		default:
			return position
		}
	}
}

// valueEnd returns the place after the value that begins at position.
func valueEnd(data []byte, position int) int {
	switch data[position] {
	case '"':
		return stringEnd(data, position)
	case '{', '[':
		return bracketEnd(data, position)
	}
	for position < len(data) && !endsScalar(data[position]) {
		position++
	}
	return position
}

// endsScalar reports whether a byte ends a number, true, false or null.
func endsScalar(character byte) bool {
	switch character {
	case ',', ']', '}', ' ', '\t', '\r', '\n':
		return true
	}
	return false
}

func stringEnd(data []byte, position int) int {
	for position++; data[position] != '"'; position++ {
		if data[position] == '\\' {
			position++
		}
	}
	return position + 1
}

func bracketEnd(data []byte, position int) int {
	depth := 0
	for {
		switch data[position] {
		case '"':
			position = stringEnd(data, position)
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		position++
		if depth == 0 {
			return position
		}
	}
}

// inner returns what is between the quotes of a JSON string, decoded only if it has escapes.
func inner(quoted []byte) []byte {
	between := quoted[1 : len(quoted)-1]
	if bytes.IndexByte(between, '\\') < 0 {
		return between
	}
	var decoded string
	if err := json.Unmarshal(quoted, &decoded); err != nil {
		return between
	}
	return []byte(decoded)
}

// textOf copies a string that inner returned. Bytes that are not UTF-8 become U+FFFD.
func textOf(decoded []byte) string {
	if utf8.Valid(decoded) {
		return string(decoded)
	}
	return string(bytes.ToValidUTF8(decoded, []byte("\uFFFD")))
}

// text decodes a JSON string.
func text(quoted []byte) string { return textOf(inner(quoted)) }

// member returns the last member of an object that has a name, and nil if there is none or it is null.
func member(object []byte, name string) []byte {
	var found []byte
	for key, value := range members(object) {
		if string(key) == name {
			found = value
		}
	}
	if isNull(found) {
		return nil
	}
	return found
}
