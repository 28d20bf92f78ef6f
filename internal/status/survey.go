// Package status asks control machines of the regional system what they know and puts it in a form for people
// on call: one line a machine, one an agent, and findings that tell what is wrong.
//
// It only reads. A machine that does not answer within Timeout is shown as silent; the others are shown all the
// same.
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
	// Timeout bounds the wait for one machine.
	Timeout = 2 * time.Second

	// maxReportBytes bounds one report.
	maxReportBytes = 16 << 20

	// maxMachines bounds the machines that are asked.
	maxMachines = 64
)

// UnreachableError tells that a machine did not answer.
type UnreachableError struct {
	Address string
	Cause   error
}

func (e *UnreachableError) Error() string { return e.Address + " does not answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// NotControlError tells that something answered at an address, but not a control machine's peer port.
type NotControlError struct {
	Address string
	Cause   error
}

func (e *NotControlError) Error() string {
	return e.Address + " is not the peer port of a control machine (the first port of its port-range): " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotControlError) Unwrap() error { return e.Cause }

// Machine is one control machine with its report, or the reason why there is none.
type Machine struct {
	Host    string
	Address string // ip:port of its peer port
	Report  *pb.ControlStatusReport
	Err     error // an *UnreachableError or a *NotControlError; nil with a report
}

// Survey is what several control machines said at about the same time. The machine that was named comes first.
type Survey struct {
	Machines []Machine
}

// Surveyor asks machines.
type Surveyor struct {
	client *http.Client
}

// NewSurveyor returns an asker that opens a connection for each question.
func NewSurveyor() *Surveyor {
	return &Surveyor{client: &http.Client{
		Timeout:   Timeout,
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: Timeout}).DialContext, DisableKeepAlives: true},
	}}
}

// Describe asks the control machine whose peer port is at an address, ip:port. The error is an *UnreachableError or
// a *NotControlError.
func (a *Surveyor) Describe(ctx context.Context, address string) (*pb.ControlStatusReport, error) {
	client := fieldrelayv1connect.NewControlStatusClient(a.client, "http://"+address,
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

// answered reports whether an error came from something that speaks HTTP at the address.
func isHTTPResponse(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled:
		return false
	default:
		return true
	}
}

// SurveyOne asks the machine at an address only.
func (a *Surveyor) SurveyOne(ctx context.Context, address string) (*Survey, error) {
	report, err := a.Describe(ctx, address)
	if err != nil {
		return nil, errors.Wrap(err, "ask the control machine")
	}
	return &Survey{Machines: []Machine{{Host: report.GetSelf().GetHost(), Address: address, Report: report}}}, nil
}

// Survey asks the machine at an address and then all voters of the view that it holds. The error is that of the
// first machine.
func (a *Surveyor) Survey(ctx context.Context, address string) (*Survey, error) {
	survey, err := a.SurveyOne(ctx, address)
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
			one.Report, one.Err = a.Describe(ctx, one.Address)
		})
	}
	group.Wait()
	return &Survey{Machines: machines}, nil
}
