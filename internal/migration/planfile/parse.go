package planfile

import "fieldrelay/internal/tomlfile"

// FaultsError lists everything that is wrong with a file, in the order of its lines.
type FaultsError = tomlfile.FaultsError

const formatName = "migration"

var format = tomlfile.Format[File]{
	Name:           formatName,
	New:            func() *File { return &File{} },
	Validate:       (*File).validate,
	DenyUnknown:    true,
	NumberElements: true,
}

// Parse reads the content of a file. If it is at fault, the error is a *FaultsError that lists all faults.
func Parse(data []byte) (*File, error) { return format.Parse(data) }
