// Package jsonwalk iterates over the members of JSON objects and the elements of JSON arrays without decoding them:
// each value is a slice of the input. It reads each byte once and copies nothing, so that a configuration with
// thousands of routes is read in a few milliseconds. It does not validate its input.
//
// Member names are compared exactly and case-sensitively, unlike in encoding/json. If a member occurs more than once,
// the last occurrence counts. A null value counts as a missing member. Input must be valid JSON (json.Valid) without
// surrounding white space. For any other input the functions return some of its parts or nothing, and do not panic.
package jsonwalk

import (
	"bytes"
	"encoding/json"
	"iter"
	"strconv"
	"unicode/utf8"
)

// Trim removes the white space around a value.
func Trim(data []byte) []byte { return bytes.Trim(data, " \t\r\n") }

// IsObject reports whether a value is an object.
func IsObject(value []byte) bool { return len(value) > 0 && value[0] == '{' }

// IsArray reports whether a value is an array.
func IsArray(value []byte) bool { return len(value) > 0 && value[0] == '[' }

// IsString reports whether a value is a string.
func IsString(value []byte) bool { return len(value) > 0 && value[0] == '"' }

// IsNull reports whether a value is null.
func IsNull(value []byte) bool { return string(value) == "null" }

// Members yields the members of an object in the order of the input, each value as a slice of the input. Keys are in
// the form that Unquoted returns; compare them directly, or copy them with TextOf.
func Members(object []byte) iter.Seq2[[]byte, []byte] {
	return func(yield func(key, value []byte) bool) {
		position := skipSpace(object, 1)
		for position < len(object) && object[position] == '"' {
			keyEnd := stringEnd(object, position)
			key := Unquoted(object[position:keyEnd])
			colon := skipSpace(object, keyEnd)
			start := skipSpace(object, colon+1)
			end := valueEnd(object, start)
			if end == start || !yield(key, object[start:end]) {
				return
			}
			position = nextElement(object, end)
		}
	}
}

// Elements yields the elements of an array, each as a slice of the input.
func Elements(array []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		position := skipSpace(array, 1)
		for position < len(array) && array[position] != ']' {
			end := valueEnd(array, position)
			if end == position || !yield(array[position:end]) {
				return
			}
			position = nextElement(array, end)
		}
	}
}

// Member returns the value of the last member with the given name, or nil if there is none or the value is null.
func Member(object []byte, name string) []byte {
	var found []byte
	for key, value := range Members(object) {
		if string(key) == name {
			found = value
		}
	}
	return Present(found)
}

// Present returns nil for null, and any other value unchanged.
func Present(value []byte) []byte {
	if IsNull(value) {
		return nil
	}
	return value
}

// Unquoted returns the content of a JSON string. The result is a slice of the input, or a decoded copy if the string
// contains escapes.
func Unquoted(quoted []byte) []byte {
	if len(quoted) < 2 {
		return nil
	}
	content := quoted[1 : len(quoted)-1]
	if bytes.IndexByte(content, '\\') < 0 {
		return content
	}
	var decoded string
	if err := json.Unmarshal(quoted, &decoded); err != nil {
		return content
	}
	return []byte(decoded)
}

// TextOf copies a result of Unquoted to a string. Invalid UTF-8 is replaced by U+FFFD.
func TextOf(decoded []byte) string {
	if utf8.Valid(decoded) {
		return string(decoded)
	}
	return string(bytes.ToValidUTF8(decoded, []byte("\uFFFD")))
}

// Text decodes a JSON string.
func Text(quoted []byte) string { return TextOf(Unquoted(quoted)) }

// Number decodes a JSON number. It returns false for any other value, and for a number outside the range of float64.
func Number(value []byte) (float64, bool) {
	if len(value) == 0 || IsString(value) {
		return 0, false
	}
	number, err := strconv.ParseFloat(string(value), 64)
	return number, err == nil
}

// nextElement returns the position of the key, element or closing bracket that follows a value ending at position.
func nextElement(data []byte, position int) int {
	position = skipSpace(data, position)
	if position < len(data) && data[position] == ',' {
		position = skipSpace(data, position+1)
	}
	return position
}

// skipSpace returns the position of the first byte at or after position that is not white space.
func skipSpace(data []byte, position int) int {
	for position < len(data) {
		switch data[position] {
		case ' ', '\t', '\r', '\n':
			position++
		default:
			return position
		}
	}
	return len(data)
}

// valueEnd returns the position after the value that begins at position, or position itself if no value begins there.
func valueEnd(data []byte, position int) int {
	if position >= len(data) {
		return position
	}
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

// stringEnd returns the position after the string that begins at position.
func stringEnd(data []byte, position int) int {
	for position++; position < len(data) && data[position] != '"'; position++ {
		if data[position] == '\\' {
			position++
		}
	}
	return min(position+1, len(data))
}

// bracketEnd returns the position after the object or array that begins at position. It does not distinguish the two
// kinds of brackets, because in valid JSON each is closed by its own kind.
func bracketEnd(data []byte, position int) int {
	depth := 0
	for position < len(data) {
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
	return position
}
