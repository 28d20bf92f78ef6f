package settings

import "fieldrelay/internal/region/tomlfile"

// FaultError is one fault of a settings file.
type FaultError = tomlfile.FaultError

// FaultsError lists all faults of a settings file, in the order of its lines.
type FaultsError = tomlfile.FaultsError

const formatName = "settings"

// format is the format of settings files. It ignores unknown keys: a newer file may have keys that this version does not
// know.
var format = tomlfile.Format[Settings]{
	Name:     formatName,
	New:      defaults,
	Validate: (*Settings).validate,
}

// Parse reads the content of a settings file. If it is invalid, the error is a *FaultsError that lists all faults.
func Parse(data []byte) (*Settings, error) { return format.Parse(data) }
