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

// endMarker is the last line of an operator's file, so that a file that is still being written is recognized as incomplete.
const endMarker = "# end"

// maxOperatorBytes bounds the size of the operator's file.
const maxOperatorBytes = 1 << 20

// Operator is the content of the operator's file: settings that the platform does not provide. A section that the file does
// not have is off or at its defaults. The type of each section belongs to the package that it configures.
type Operator struct {
	Version  int                `toml:"version"`
	Log      logging.Settings   `toml:"log"`
	Frontend frontend.Settings  `toml:"front"`
	Replace  handover.Settings  `toml:"replace"`
	Fleet    settings.Settings  `toml:"fleet"`
	Quota    quota.SettingsList `toml:"quota"`
	Rules    rules.Settings     `toml:"rules"`
}

// OperatorDefaults returns the settings that apply without an operator's file.
func OperatorDefaults() Operator {
	return Operator{Version: OperatorVersion, Log: logging.Defaults(), Replace: handover.Defaults(), Fleet: settings.Defaults(), Rules: rules.Defaults()}
}

var operatorSchema = sync.OnceValue(func() schema { return schemaOf(reflect.TypeFor[Operator](), "toml") })

// readOperator reads the operator's file. An empty path gives the defaults.
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

// parseOperator parses and checks the text of an operator's file. The source returned has its faults.
func parseOperator(path string, text []byte) (Operator, *source) {
	src := &source{file: path}
	o := OperatorDefaults()
	if !src.checkOperatorText(text) {
		return o, src
	}
	if err := toml.Unmarshal(text, &o); err != nil {
		// The schema admits some values that the type cannot hold, such as a number that is too large.
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

// checkOperatorText checks the text against the schema, and reports whether the values of its known keys can be checked
// further, which unknown keys, missing keys and a missing end marker do not prevent.
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

// checkEnd adds a fault if the file does not end with the end marker, since it may be truncated.
func (s *source) checkEnd(text []byte) {
	trimmed := bytes.TrimRight(text, "\r\n\t ")
	if last := trimmed[bytes.LastIndexByte(trimmed, '\n')+1:]; string(last) == endMarker {
		return
	}
	line, _ := lineColumn(text, len(trimmed))
	s.faults = append(s.faults, Fault{File: s.file, Line: line, Column: 1, Read: "the file may not be whole",
		Allowed: fmt.Sprintf("its last line must be %q", endMarker)})
}

// decodeFault returns the fault for a text that cannot be decoded, with the position that the decoder reports.
func decodeFault(path, read string, err error) Fault {
	fault := Fault{File: path, Read: read, Allowed: strings.TrimPrefix(err.Error(), "toml: ")}
	if decode := new(toml.DecodeError); errors.As(err, &decode) {
		fault.Line, fault.Column = decode.Position()
	}
	return fault
}

// NamesFleet reports whether an operator's file names a fleet. It returns false for a file with faults, which are reported at
// the start.
func NamesFleet(path string) bool {
	o, src := readOperator(path)
	return len(src.faults) == 0 && o.Fleet.Enabled()
}
