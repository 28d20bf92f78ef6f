package catalog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"

	"fieldrelay/internal/region/jsonwalk"
)

// Names of the members that have a special meaning in an order.
const (
	memberGeneration = "gen"
	memberUpsert     = "upsert"
	memberRemove     = "remove"
)

// emptyList is the body of the setting that represents a collection.
var emptyList = []byte("[]")

// entry is one named part of a document: an element of a collection, or a setting.
type entry struct {
	name string
	body []byte // shares memory with the order's body
}

// section is one member of a configuration.
type section struct {
	name       string
	collection bool    // the member is a list of named objects
	entries    []entry // elements of a collection
	body       []byte  // value of a setting
}

// document is a parsed configuration, or the parsed upserts of an amendment.
type document struct {
	sections []section
}

// parseObject checks that data is one JSON object and returns it without the white space around it.
func parseObject(data []byte) ([]byte, error) {
	if !json.Valid(data) {
		return nil, invalid("", "", "the body is not JSON")
	}
	object := jsonwalk.Trim(data)
	if !jsonwalk.IsObject(object) {
		return nil, invalid("", "", "the body is not a JSON object")
	}
	return object, nil
}

// parseDocument parses the members of an object. If a name occurs more than once, the last member is used.
func parseDocument(object []byte, faults *InvalidError) document {
	var parsed document
	indexes := make(map[string]int)
	for key, value := range jsonwalk.Members(object) {
		name := jsonwalk.TextOf(key)
		if name == memberGeneration {
			continue
		}
		next := parseSection(name, value, faults)
		if index, duplicate := indexes[name]; duplicate {
			parsed.sections[index] = next
			continue
		}
		indexes[name] = len(parsed.sections)
		parsed.sections = append(parsed.sections, next)
	}
	return parsed
}

// parseSection parses one member: a collection if it is a list of objects with distinct names, otherwise a setting.
func parseSection(name string, value []byte, faults *InvalidError) section {
	setting := section{name: name, body: value}
	if !isCollection(name) {
		return setting
	}
	required := name == KindRoutes || name == KindBackends
	if required && jsonwalk.IsNull(value) {
		return section{name: name, collection: true}
	}
	if !jsonwalk.IsArray(value) {
		if required {
			faults.add("", name, "is not a list")
		}
		return setting
	}
	entries, err := parseNamedEntries(value)
	if err != nil {
		if required {
			faults.add("", name, "%v", err)
		}
		return setting
	}
	return section{name: name, collection: true, entries: entries}
}

// parseNamedEntries parses a list of objects with distinct names. The error says why the array is not such a list; the
// text of the error is part of the response to the operator.
func parseNamedEntries(array []byte) ([]entry, error) {
	var entries []entry
	seen := make(map[string]bool)
	for element := range jsonwalk.Elements(array) {
		if !jsonwalk.IsObject(element) {
			return nil, fmt.Errorf("element %d is not an object", len(entries))
		}
		quoted := jsonwalk.Member(element, "name")
		if !jsonwalk.IsString(quoted) {
			return nil, fmt.Errorf("element %d has no name", len(entries))
		}
		name := jsonwalk.Text(quoted)
		if seen[name] {
			return nil, fmt.Errorf("the name %q comes twice", name)
		}
		seen[name] = true
		entries = append(entries, entry{name: name, body: element})
	}
	return entries, nil
}

// parseRemovals parses the lists of names that an amendment removes, by collection.
func parseRemovals(value []byte, faults *InvalidError) map[string][]string {
	if value == nil {
		return nil
	}
	if !jsonwalk.IsObject(value) {
		faults.add("", memberRemove, "is not an object")
		return nil
	}
	removals := make(map[string][]string)
	for key, list := range jsonwalk.Members(value) {
		kind := jsonwalk.TextOf(key)
		if jsonwalk.IsNull(list) {
			continue
		}
		names, ok := parseNames(list)
		if !ok {
			faults.add("", memberRemove+"."+kind, "is not a list of names")
			continue
		}
		if isCollection(kind) {
			removals[kind] = names
		}
	}
	return removals
}

// parseNames parses a list of strings. It returns false if the value is not a list of strings.
func parseNames(value []byte) ([]string, bool) {
	if !jsonwalk.IsArray(value) {
		return nil, false
	}
	var names []string
	for element := range jsonwalk.Elements(value) {
		if !jsonwalk.IsString(element) {
			return nil, false
		}
		names = append(names, jsonwalk.Text(element))
	}
	return names, true
}

// largestExactFloat is the largest number up to which a float64 represents all integers exactly.
const largestExactFloat = 1 << 53

// parseInteger parses a non-negative integer in any notation of JSON (7, 7.0, 7e0).
func parseInteger(value []byte) (uint64, bool) {
	if number, err := strconv.ParseUint(string(value), 10, 64); err == nil {
		return number, true
	}
	number, ok := jsonwalk.Number(value)
	if !ok || number < 0 || number > largestExactFloat || number != math.Trunc(number) {
		return 0, false
	}
	return uint64(number), true
}

// parseGeneration parses the gen of an order and checks that it is above the current generation.
func parseGeneration(object []byte, current uint64, faults *InvalidError) uint64 {
	value := jsonwalk.Member(object, memberGeneration)
	if value == nil {
		faults.add("", memberGeneration, "is missing")
		return 0
	}
	generation, ok := parseInteger(value)
	if !ok {
		faults.add("", memberGeneration, "is not a whole number")
		return 0
	}
	if generation <= current {
		faults.add("", memberGeneration, "%d is not above the current one, %d", generation, current)
	}
	return generation
}

// writeMember writes one more member of an object, after a comma.
func writeMember(buffer *bytes.Buffer, name string, body []byte) error {
	quoted, err := json.Marshal(name)
	if err != nil {
		return err
	}
	buffer.WriteByte(',')
	buffer.Write(quoted)
	buffer.WriteByte(':')
	buffer.Write(body)
	return nil
}
