package tomlfile

import (
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Format describes a kind of file whose content decodes into a T.
type Format[T any] struct {
	Name           string                 // name with which the text of every *FaultsError begins
	New            func() *T              // returns a value with the defaults, into which a file is decoded
	Validate       func(*T) []*FaultError // returns all faults of a decoded value, with keys and without lines
	DenyUnknown    bool                   // whether keys without a field in T are faults; else they are ignored
	NumberElements bool                   // whether keys in arrays of tables contain the element's index, "replace[1].old"; else "replace.old"
}

// Parse decodes and validates the content of a file. If it has faults, the error is a *FaultsError that lists them all.
func (f *Format[T]) Parse(data []byte) (*T, error) {
	index, fault := newKeyIndex(data, f.NumberElements)
	if fault != nil {
		return nil, Join(f.Name, []*FaultError{fault})
	}
	value, faults := f.decode(data, index)
	if value == nil {
		return nil, Join(f.Name, faults)
	}
	for _, fault := range f.Validate(value) {
		if !index.isBlankedOut(fault.Key) {
			fault.Line = index.lineOf(fault.Key)
			faults = append(faults, fault)
		}
	}
	if err := Join(f.Name, faults); err != nil {
		return nil, err
	}
	return value, nil
}

// decode decodes a file into a new value. The decoder stops at the first value of a wrong type. To find all of them,
// decode records such a value as a fault, blanks it out and decodes the file again. If the returned value is nil, the
// file cannot be decoded and the faults say why.
func (f *Format[T]) decode(data []byte, index *keyIndex) (*T, []*FaultError) {
	remaining := bytes.Clone(data)
	var faults []*FaultError
	for range len(index.entries) + 1 {
		value := f.New()
		err := f.decodeOnce(remaining, value)
		if err == nil {
			return value, faults
		}
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			return value, append(faults, unknownFaults(index, unknown)...)
		}
		var wrongType *toml.DecodeError
		if !errors.As(err, &wrongType) {
			return nil, []*FaultError{{Reason: err.Error()}}
		}
		line, _ := wrongType.Position()
		entry := index.entryAt(line)
		entry.blanked = true
		reason := strings.TrimPrefix(wrongType.Error(), "toml: ")
		faults = append(faults, &FaultError{Key: entry.key, Line: line, Reason: reason})
		blankOut(remaining[entry.start:entry.end])
	}
	return nil, faults
}

func (f *Format[T]) decodeOnce(data []byte, value *T) error {
	decoder := toml.NewDecoder(bytes.NewReader(data))
	if f.DenyUnknown {
		decoder.DisallowUnknownFields()
	}
	return decoder.Decode(value)
}

func unknownFaults(index *keyIndex, unknown *toml.StrictMissingError) []*FaultError {
	var faults []*FaultError
	for position := range unknown.Errors {
		line, _ := unknown.Errors[position].Position()
		faults = append(faults, &FaultError{Key: index.entryAt(line).key, Line: line, Reason: "is not known"})
	}
	return faults
}

// blankOut overwrites text with spaces and keeps its line breaks.
func blankOut(data []byte) {
	for index, character := range data {
		if character != '\n' {
			data[index] = ' '
		}
	}
}
