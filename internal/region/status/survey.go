// Package status queries control machines of the regional system for their status and presents it to people on call: one
// line per machine, one per agent, and findings about problems. For programs there is a JSON form.
//
// The package only reads, and works without a majority. A machine that does not answer within Timeout is shown as silent.
// docs/region/control.md describes findings and columns.
package status

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/api/fieldrelay/v1/fieldrelayv1connect"
)

const (
	// Timeout bounds the wait for the report of one machine.
	Timeout = 2 * time.Second

	// maxReportBytes bounds the size of one report.
	maxReportBytes = 16 << 20

	// maxMachines bounds the number of machines that one survey queries.
	maxMachines = 64
)

// UnreachableError reports that a machine did not answer.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error names the address and the cause.
func (e *UnreachableError) Error() string { return e.Address + " does not answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// NotControlError reports that an address answered but is not the peer port of a control machine.
type NotControlError struct {
	Address string
	Cause   error
}

// Error names the address, which port is expected there, and the cause.
func (e *NotControlError) Error() string {
	return e.Address + " is not the peer port of a control machine (the first port of its port-range): " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotControlError) Unwrap() error { return e.Cause }

// Machine is one control machine with its report, or the error of the query.
type Machine struct {
	Host    string
	Address string // ip:port of the machine's peer port
	Report  *pb.ControlStatusReport
	Err     error // *UnreachableError or *NotControlError; nil if there is a report
}

// Survey has the reports of control machines, queried at about the same time. The machine at the given address comes
// first; the others are sorted by host.
type Survey struct {
	Machines []Machine
}

// Surveyor queries control machines. It is safe for concurrent use.
type Surveyor struct {
	client *http.Client
}

// NewSurveyor returns a surveyor that opens a new connection for each query.
func NewSurveyor() *Surveyor {
	return &Surveyor{client: &http.Client{
		Timeout:   Timeout,
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: Timeout}).DialContext, DisableKeepAlives: true},
	}}
}

// Describe queries the control machine whose peer port is at an address, ip:port. The error is an *UnreachableError or
// a *NotControlError.
func (s *Surveyor) Describe(ctx context.Context, address string) (*pb.ControlStatusReport, error) {
	client := fieldrelayv1connect.NewControlStatusClient(s.client, "http://"+address,
		connect.WithReadMaxBytes(maxReportBytes), connect.WithAcceptCompression("gzip", nil, nil))
	response, err := client.Describe(ctx, connect.NewRequest(&pb.ControlStatusRequest{}))
	switch {
	case err == nil:
		return response.Msg, nil
	case isHTTPResponse(err):
		return nil, &NotControlError{Address: address, Cause: err}
	default:
		return nil, &UnreachableError{Address: address, Cause: err}
	}
}

// isHTTPResponse reports whether an error is a response, so that some HTTP server answers at the address.
func isHTTPResponse(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled:
		return false
	default:
		return true
	}
}

// SurveyOne queries only the machine at an address.
func (s *Surveyor) SurveyOne(ctx context.Context, address string) (*Survey, error) {
	report, err := s.Describe(ctx, address)
	if err != nil {
		return nil, errors.Wrap(err, "query the control machine")
	}
	return &Survey{Machines: []Machine{{Host: report.GetSelf().GetHost(), Address: address, Report: report}}}, nil
}

// Survey queries the machine at an address and then, in parallel, all voters of the view that this machine knows. It
// returns an error only if the first query fails; the errors of the other machines are in the survey.
func (s *Surveyor) Survey(ctx context.Context, address string) (*Survey, error) {
	survey, err := s.SurveyOne(ctx, address)
	if err != nil {
		return nil, err
	}
	machines := survey.Machines
	first := machines[0].Report
	for _, voter := range first.GetView().GetVoters() {
		if voter.GetHost() != first.GetSelf().GetHost() && len(machines) < maxMachines {
			machines = append(machines, Machine{Host: voter.GetHost(), Address: voter.GetAddress()})
		}
	}
	others := machines[1:]
	slices.SortFunc(others, func(one, other Machine) int { return strings.Compare(one.Host, other.Host) })
	var group sync.WaitGroup
	for index := range others {
		group.Go(func() {
			one := &others[index]
			one.Report, one.Err = s.Describe(ctx, one.Address)
		})
	}
	group.Wait()
	return &Survey{Machines: machines}, nil
}
