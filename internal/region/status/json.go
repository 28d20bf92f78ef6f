package status

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
)

// jsonMachine is one machine of a survey in JSON.
type jsonMachine struct {
	Host    string          `json:"host"`
	Address string          `json:"address"`
	Error   string          `json:"error,omitempty"`
	Report  json.RawMessage `json:"report,omitempty"` // ControlStatusReport in the JSON form of protobuf
}

// jsonFinding is one finding of a survey in JSON.
type jsonFinding struct {
	Severity string `json:"severity"`
	Text     string `json:"text"`
}

// jsonSurvey is a survey in JSON.
type jsonSurvey struct {
	Findings []jsonFinding `json:"findings"`
	Machines []jsonMachine `json:"machines"`
}

// WriteJSON writes a survey as JSON for programs. The members of a report have the names of the fields in
// api/fieldrelay/v1/system.proto.
func (s *Survey) WriteJSON(output io.Writer) error {
	document := jsonSurvey{Findings: []jsonFinding{}, Machines: []jsonMachine{}}
	for _, finding := range s.Findings() {
		document.Findings = append(document.Findings, jsonFinding{Severity: finding.Severity.String(), Text: finding.Text})
	}
	for _, machine := range s.Machines {
		converted, err := machineJSON(machine)
		if err != nil {
			return err
		}
		document.Machines = append(document.Machines, converted)
	}
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(document), "write the survey")
}

// machineJSON converts a machine for WriteJSON, its report with the field names of the proto file.
func machineJSON(machine Machine) (jsonMachine, error) {
	converted := jsonMachine{Host: machine.Host, Address: machine.Address}
	if machine.Err != nil {
		converted.Error = machine.Err.Error()
	}
	if machine.Report == nil {
		return converted, nil
	}
	report, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(machine.Report)
	converted.Report = report
	return converted, errors.Wrap(err, "encode the report of a control machine")
}
