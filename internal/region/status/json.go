package status

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
)

// jsonMachine is one machine in the JSON form.
type jsonMachine struct {
	Host    string          `json:"host"`
	Address string          `json:"address"`
	Error   string          `json:"error,omitempty"`
	Report  json.RawMessage `json:"report,omitempty"` // a ControlStatusReport
}

// jsonFinding is one finding in the JSON form.
type jsonFinding struct {
	Severity string `json:"severity"`
	Text     string `json:"text"`
}

// jsonSurvey is a survey in the JSON form.
type jsonSurvey struct {
	Findings []jsonFinding `json:"findings"`
	Machines []jsonMachine `json:"machines"`
}

// WriteJSON writes a survey for programs. The members of a report are named as in api/fieldrelay/v1/system.proto.
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

// machineJSON converts a machine to the JSON form, its report by the names of the proto file.
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
	return converted, errors.Wrap(err, "encode a report")
}
