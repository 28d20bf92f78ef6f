package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/pelletier/go-toml/v2/unstable"
)

// leaf is a key of a file with its position and its value.
type leaf struct {
	path         string // path of the key, such as settings.classes[0].effect
	line, column int
	kind         kind
	raw          string // text of a scalar value as written
}

// kind is the type of a value in JSON or TOML.
type kind uint8

const (
	anything kind = iota
	null
	text
	number
	integer // a number without a fraction
	flag
	list
	table
)

func (k kind) String() string {
	return [...]string{"any value", "null", "text", "a number", "a whole number", "true or false", "a list", "a table"}[k]
}

// scanJSON returns every key of a JSON text. It stops at the first syntax error, which json.Unmarshal reports in detail.
func scanJSON(src []byte) ([]leaf, error) {
	s := &jsonScan{src: src, dec: json.NewDecoder(bytes.NewReader(src))}
	s.dec.UseNumber()
	err := s.value("")
	return s.leaves, err
}

type jsonScan struct {
	src    []byte
	dec    *json.Decoder
	leaves []leaf
}

// value scans a value and the values nested in it.
func (s *jsonScan) value(path string) error {
	l, err := s.leaf(path)
	if err != nil {
		return err
	}
	if path != "" {
		s.leaves = append(s.leaves, l)
	}
	switch l.kind {
	case table:
		err = s.members(path)
	case list:
		err = s.elements(path)
	default:
		return nil
	}
	if err != nil {
		return err
	}
	_, err = s.dec.Token()
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// leaf scans a scalar value, or the start of a list or table.
func (s *jsonScan) leaf(path string) (leaf, error) {
	from := int(s.dec.InputOffset())
	from += len(s.src[from:]) - len(bytes.TrimLeft(s.src[from:], " \t\r\n:,"))
	token, err := s.dec.Token()
	if err != nil {
		return leaf{}, err
	}
	l := leaf{path: path, raw: string(s.src[from:s.dec.InputOffset()])}
	l.line, l.column = lineColumn(s.src, from)
	switch v := token.(type) {
	case nil:
		l.kind = null
	case string:
		l.kind, l.raw = text, v
	case bool:
		l.kind = flag
	case json.Number:
		l.kind = number
		if _, err := strconv.ParseInt(v.String(), 10, 64); err == nil {
			l.kind = integer
		}
	case json.Delim:
		if l.kind, l.raw = table, ""; v == '[' {
			l.kind = list
		}
	}
	return l, nil
}

// members scans the members of a table.
func (s *jsonScan) members(path string) error {
	for s.dec.More() {
		key, err := s.dec.Token()
		if err != nil {
			return err
		}
		if err := s.value(join(path, fmt.Sprint(key))); err != nil {
			return err
		}
	}
	return nil
}

// elements scans the elements of a list.
func (s *jsonScan) elements(path string) error {
	for i := 0; s.dec.More(); i++ {
		if err := s.value(fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	return nil
}

func lineColumn(src []byte, at int) (line, column int) {
	at = min(max(at, 0), len(src))
	before := src[:at]
	return bytes.Count(before, []byte("\n")) + 1, at - bytes.LastIndexByte(before, '\n')
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// scanTOML returns every key of a TOML text. It stops at the first syntax error, which toml.Unmarshal reports in detail.
func scanTOML(src []byte) ([]leaf, error) {
	s := &tomlScan{lists: map[string]int{}}
	s.p.Reset(src)
	prefix := ""
	for s.p.NextExpression() {
		switch e := s.p.Expression(); e.Kind {
		case unstable.Table:
			prefix = s.keys("", e.Key(), table)
		case unstable.ArrayTable:
			name := s.keys("", e.Key(), list)
			prefix = fmt.Sprintf("%s[%d]", name, s.lists[name])
			s.lists[name]++
			s.leaves = append(s.leaves, leaf{path: prefix, kind: table, line: s.last.line, column: s.last.column})
		case unstable.KeyValue:
			s.keyValue(prefix, e)
		}
	}
	return s.leaves, s.p.Error()
}

type tomlScan struct {
	p      unstable.Parser
	lists  map[string]int // number of tables so far in each list of tables, by path
	leaves []leaf
	last   leaf
}

// keys adds the keys of a dotted name, and returns the path of the last one, whose kind is k.
func (s *tomlScan) keys(path string, it unstable.Iterator, k kind) string {
	for it.Next() {
		path = join(path, string(it.Node().Data))
		if n := s.lists[path]; n > 0 && !it.IsLast() { // the rest of the name is in the last table of the list
			path = fmt.Sprintf("%s[%d]", path, n-1)
			continue
		}
		at := s.p.Shape(it.Node().Raw).Start
		l := leaf{path: path, line: at.Line, column: at.Column, kind: table}
		if it.IsLast() {
			l.kind = k
		}
		s.leaves = append(s.leaves, l)
		s.last = l
	}
	return path
}

func (s *tomlScan) keyValue(prefix string, e *unstable.Node) {
	path := s.keys(prefix, e.Key(), anything)
	s.value(len(s.leaves)-1, path, e.Value())
}

// value fills in the value of the leaf at an index.
func (s *tomlScan) value(at int, path string, v *unstable.Node) {
	l := &s.leaves[at]
	l.raw = string(v.Data)
	switch v.Kind {
	case unstable.String:
		l.kind = text
	case unstable.Bool:
		l.kind = flag
	case unstable.Integer:
		l.kind = integer
	case unstable.Float:
		l.kind = number
	case unstable.Array:
		l.kind = list
		it, place := v.Children(), *l
		for i := 0; it.Next(); i++ {
			s.leaves = append(s.leaves, leaf{path: fmt.Sprintf("%s[%d]", path, i), line: place.line, column: place.column})
			s.value(len(s.leaves)-1, s.leaves[len(s.leaves)-1].path, it.Node())
		}
	case unstable.InlineTable:
		l.kind = table
		for it := v.Children(); it.Next(); {
			s.keyValue(path, it.Node())
		}
	default: // dates and times, which no setting accepts
		l.kind = null
	}
}

// schema describes the keys of a settings type: the kind of each path, with [] for the index of a list and * for any key.
type schema map[string]kind

// schemaOf derives the schema of a type from the names in a struct tag.
func schemaOf(t reflect.Type, tag string) schema {
	s := schema{}
	s.add(t, tag, "")
	return s
}

func (s schema) add(t reflect.Type, tag, path string) {
	set := func(k kind) {
		if path != "" {
			s[path] = k
		}
	}
	if t == reflect.TypeFor[json.RawMessage]() {
		set(anything)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		set(table)
		for f := range t.Fields() {
			if f.Anonymous {
				s.add(f.Type, tag, path)
			} else if name, _, _ := strings.Cut(f.Tag.Get(tag), ","); name != "" && name != "-" {
				s.add(f.Type, tag, join(path, name))
			}
		}
	case reflect.Map:
		set(table)
		s.add(t.Elem(), tag, path+".*")
	case reflect.Slice:
		set(list)
		s.add(t.Elem(), tag, path+"[]")
	case reflect.String:
		set(text)
	case reflect.Bool:
		set(flag)
	case reflect.Float64:
		set(number)
	default:
		set(integer)
	}
}

var places = sync.OnceValue(func() *regexp.Regexp { return regexp.MustCompile(`\[\d+\]`) })

// find returns the kind of a path and whether the schema has the path.
func (s schema) find(path string) (kind, bool) {
	path = places().ReplaceAllString(path, "[]")
	if k, ok := s[path]; ok {
		return k, true
	}
	if i := strings.LastIndexByte(path, '.'); i >= 0 {
		k, ok := s[path[:i]+".*"]
		return k, ok
	}
	return anything, false
}

// unknownKey is the Read of a fault for an unknown key.
const unknownKey = "unknown key"

// check adds a fault for each key whose value is of the wrong kind and, if strict, for each key that the schema does not
// have. Keys under an unknown key get no fault of their own.
func (s schema) check(src *source, leaves []leaf, strict bool) {
	src.leaves = make(map[string]leaf, len(leaves))
	unknown := "" // path of the last unknown key; keys under it get no fault of their own
	for _, l := range leaves {
		src.leaves[l.path] = l
		want, known := s.find(l.path)
		switch {
		case unknown != "" && (strings.HasPrefix(l.path, unknown+".") || strings.HasPrefix(l.path, unknown+"[")):
		case !known && strict:
			unknown = l.path
			allowed := "a known key"
			if near := s.nearest(l.path); near != "" {
				allowed = fmt.Sprintf("a known key, such as %s", near)
			}
			src.faults = append(src.faults, Fault{File: src.file, Line: l.line, Column: l.column, Key: l.path,
				Read: unknownKey, Allowed: allowed})
		case !known, want == anything, l.kind == want, l.kind == null && !strict, want == number && l.kind == integer:
		default:
			read := l.raw
			if read == "" {
				read = l.kind.String()
			}
			src.fault(l.path, read, want.String())
		}
	}
}

// nearest returns the known key that a misspelt path most likely stands for, or an empty string.
func (s schema) nearest(path string) string {
	path = places().ReplaceAllString(path, "[]")
	best, least := "", len(path)/2+1
	keys := make([]string, 0, len(s))
	for key := range s {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		if d := distance(path, key); d < least && !strings.Contains(key, "*") {
			best, least = key, d
		}
	}
	return best
}

// distance returns the Levenshtein distance of two strings: the number of bytes to insert, remove or replace.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
