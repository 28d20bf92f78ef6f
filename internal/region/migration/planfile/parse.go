package planfile

import (
	"fieldrelay/internal/region/tomlfile"
)

// FaultsError lists all faults of a file, in the order of its lines.
type FaultsError = tomlfile.FaultsError

const formatName = "migration"

// format is the strict file format: an unknown key is a fault.
var format = tomlfile.Format[File]{
	Name:           formatName,
	New:            func() *File { return &File{} },
	Validate:       (*File).validate,
	DenyUnknown:    true,
	NumberElements: true,
}

// Parse reads the content of a plan file. If the file is invalid, the error is a *FaultsError with all faults.
func Parse(data []byte) (*File, error) { return format.Parse(data) }
