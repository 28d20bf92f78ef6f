package tomlfile

import (
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Format is a kind of file that decodes into a T.
type Format[T any] struct {
	Name           string                 // begins the text of every *FaultsError
	New            func() *T              // returns a value with the defaults, which is decoded into
	Validate       func(*T) []*FaultError // returns every fault of a decoded value, by key and without lines
	DenyUnknown    bool                   // keys that T doesn't have are faults; else they are ignored
	NumberElements bool                   // keys in arrays of tables tell the element, "replace[1].old"; else "replace.old"
}

// Parse reads the content of a file. If it is at fault, the error is a *FaultsError that lists all faults.
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

// decode fills in a value. The decoder stops at a value of the wrong type: it is noted as a fault and blanked
// out, and decoding begins anew, so that all of them are found. Without a value, the faults tell why.
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

// blankOut overwrites text with spaces and keeps the lines.
func blankOut(data []byte) {
	for index, character := range data {
		if character != '\n' {
			data[index] = ' '
		}
	}
}
