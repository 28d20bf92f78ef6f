package config

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"sync"

	"github.com/pelletier/go-toml/v2"

	"fieldrelay/internal/sidecar/fleet/settings"
	"fieldrelay/internal/sidecar/frontend"
	"fieldrelay/internal/sidecar/handover"
	"fieldrelay/internal/sidecar/logging"
	"fieldrelay/internal/sidecar/quota"
	rules "fieldrelay/internal/sidecar/versionskew/settings"
)

// OperatorVersion is the version of the operator's file that this program reads.
const OperatorVersion = 1

// endMarker ends an operator's file: one that is still being written does not pass for a whole one.
const endMarker = "# end"

// maxOperatorBytes bounds the operator's file in bytes.
const maxOperatorBytes = 1 << 20

// Operator is the operator's own file: what the platform does not tell. A section that it does not name is off or at
// its defaults. Each section's type is that of the package that it sets.
type Operator struct {
	Version  int                `toml:"version"`
	Log      logging.Settings   `toml:"log"`
	Frontend frontend.Settings  `toml:"front"`
	Replace  handover.Settings  `toml:"replace"`
	Fleet    settings.Settings  `toml:"fleet"`
	Quota    quota.SettingsList `toml:"quota"`
	Rules    rules.Settings     `toml:"rules"`
}

// OperatorDefaults are the settings where there is no operator's file.
func OperatorDefaults() Operator {
	return Operator{Version: OperatorVersion, Log: logging.Defaults(), Replace: handover.Defaults(), Fleet: settings.Defaults(), Rules: rules.Defaults()}
}

var operatorSchema = sync.OnceValue(func() schema { return schemaOf(reflect.TypeFor[Operator](), "toml") })

// readOperator reads the operator's file; no path is a file that says nothing.
func readOperator(path string) (Operator, *source) {
	src := &source{file: path}
	if path == "" {
		return OperatorDefaults(), src
	}
	text, err := os.ReadFile(path)
	if err == nil && len(text) > maxOperatorBytes {
		err = fmt.Errorf("%d bytes, %d at most", len(text), maxOperatorBytes)
	}
	if err != nil {
		src.faults = append(src.faults, Fault{File: path, Read: "cannot be read", Allowed: err.Error()})
		return Operator{}, src
	}
	return parseOperator(path, text)
}

// parseOperator reads the text of an operator's file and names all that is wrong with it.
func parseOperator(path string, text []byte) (Operator, *source) {
	src := &source{file: path}
	o := OperatorDefaults()
	if !src.checkOperatorText(text) {
		return o, src
	}
	if err := toml.Unmarshal(text, &o); err != nil {
		// The schema has let through what the type does not take, such as a number that is too large.
		fault := decodeFault(path, "cannot be used", err)
		if decode := new(toml.DecodeError); errors.As(err, &decode) {
			fault.Key = strings.Join(decode.Key(), ".")
		}
		src.faults = append(src.faults, fault)
		return o, src
	}
	if src.has("version") && o.Version != OperatorVersion {
		src.fault("version", o.Version, fmt.Sprintf("%d; this program reads no other", OperatorVersion))
	}
	o.Log.Check(src.under("log"))
	o.Replace.Check(src.under("replace"))
	o.Fleet.Check(src.under("fleet"))
	o.Quota.Check(o.Fleet.Enabled(), func(key string, read any, allowed string) { src.fault("quota"+key, read, allowed) })
	o.Rules.Check(o.Fleet.Enabled(), src.under("rules"))
	return o, src
}

// checkOperatorText checks the text against the schema, and reports whether its known values can be looked at: unknown keys
// and an end that is missing do not keep them from it.
func (s *source) checkOperatorText(text []byte) bool {
	var probe map[string]any
	if err := toml.Unmarshal(text, &probe); err != nil {
		s.faults = append(s.faults, decodeFault(s.file, "not TOML", err))
		return false
	}
	s.checkEnd(text)
	leaves, err := scanTOML(text)
	if err != nil {
		s.faults = append(s.faults, Fault{File: s.file, Read: "not TOML", Allowed: err.Error()})
		return false
	}
	operatorSchema().check(s, leaves, true)
	if !s.has("version") {
		s.missing("version", fmt.Sprint(OperatorVersion))
	}
	return !slices.ContainsFunc(s.faults, func(f Fault) bool { return f.Read != unknownKey && f.Key != "" && f.Read != "" })
}

// checkEnd reports a file that does not end with the end marker: it may have been cut off.
func (s *source) checkEnd(text []byte) {
	trimmed := bytes.TrimRight(text, "\r\n\t ")
	if last := trimmed[bytes.LastIndexByte(trimmed, '\n')+1:]; string(last) == endMarker {
		return
	}
	line, _ := lineColumn(text, len(trimmed))
	s.faults = append(s.faults, Fault{File: s.file, Line: line, Column: 1, Read: "the file may not be whole",
		Allowed: fmt.Sprintf("its last line must be %q", endMarker)})
}

// decodeFault is the fault of a text that cannot be decoded, with the place that the decoder names.
func decodeFault(path, read string, err error) Fault {
	fault := Fault{File: path, Read: read, Allowed: strings.TrimPrefix(err.Error(), "toml: ")}
	if decode := new(toml.DecodeError); errors.As(err, &decode) {
		fault.Line, fault.Column = decode.Position()
	}
	return fault
}

// NamesFleet tells whether an operator's file names a fleet. A file with faults names none: they are told at the start.
func NamesFleet(path string) bool {
	o, src := readOperator(path)
	return len(src.faults) == 0 && o.Fleet.Enabled()
}
