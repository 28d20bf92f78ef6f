// Package coordinationapi serves the coordination API of a control machine over HTTP: the locks, numbers, keys and watches
// of applications, as specified by api/operator.yaml. It checks the form of a call, passes it to the coordination engine
// and converts the result into a response.
//
// Its only state is counters and the slots of open calls. docs/region/coordination.md describes its responses.
package coordinationapi

import (
	"context"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"fieldrelay/api/coordination"
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/httpapi"
)

// servedPathPrefixes are the prefixes of the paths that a Server serves.
var servedPathPrefixes = []string{"/api/locks/", "/api/numbers/", "/api/cells/", "/api/watch/"}

// Serves reports whether a Server serves a path.
func Serves(path string) bool {
	return slices.ContainsFunc(servedPathPrefixes, func(prefix string) bool { return strings.HasPrefix(path, prefix) })
}

// Bounds of calls.
const (
	// maxConcurrentCalls bounds the number of open calls other than watches.
	maxConcurrentCalls = 512
	// maxConcurrentWatches bounds the number of open watches.
	maxConcurrentWatches = 512
	// maxWatchWait is the longest time that a watch waits for a put.
	maxWatchWait = time.Minute
)

// Calls is the coordination engine as this package uses it. It is safe for concurrent use.
type Calls interface {
	// Call executes a call and waits for its result. The outcome UNAVAILABLE means that the call was not executed and
	// never will be; UNKNOWN means that it may have been executed or may still be.
	Call(ctx context.Context, call *pb.CoordinationCall) *pb.CoordinationResult
}

// Options configures a Server. All fields are required.
type Options struct {
	Calls Calls
	// Ready reports whether this machine knows a view. While it reports false, calls are rejected at once.
	Ready func() bool
	// ShuttingDown is closed when the machine begins to shut down; open watches are then answered.
	ShuttingDown <-chan struct{}
	Counters     *Counters
}

// Server implements the operations of applications. It is safe for concurrent use.
type Server struct {
	options    Options
	callSlots  httpapi.Slots // slots of open calls other than watches
	watchSlots httpapi.Slots // slots of open watches
}

// New returns a server.
func New(options Options) *Server {
	return &Server{
		options:    options,
		callSlots:  httpapi.NewSlots(maxConcurrentCalls),
		watchSlots: httpapi.NewSlots(maxConcurrentWatches),
	}
}

// Handler returns the handler of all operations.
func (s *Server) Handler() http.Handler {
	return coordination.HandlerWithOptions(s, coordination.StdHTTPServerOptions{
		ErrorHandlerFunc: func(w http.ResponseWriter, _ *http.Request, err error) {
			s.reject(w, parameterError(err))
		},
	})
}

// AcquireLock acquires a lock.
func (s *Server) AcquireLock(w http.ResponseWriter, r *http.Request, id coordination.CoordinationID) {
	var body coordination.LockAcquisition
	err := readIDAndBody(w, r, id, &body, fieldHolder, fieldHold)
	if err == nil {
		err = validateHolderAndHold(body.Holder, body.HoldMs)
	}
	if err != nil {
		s.reject(w, err)
		return
	}
	s.call(w, r, &pb.CoordinationCall{Operation: &pb.CoordinationCall_Acquire{Acquire: &pb.AcquireLock{
		Name:   id,
		Holder: body.Holder,
		HoldMs: holdMilliseconds(body.HoldMs),
	}}}, respondGrant)
}

// RenewLock extends the time for which a caller holds a lock.
func (s *Server) RenewLock(w http.ResponseWriter, r *http.Request, id coordination.CoordinationID) {
	var body coordination.LockRenewal
	err := readIDAndBody(w, r, id, &body, fieldHolder, fieldFence, fieldHold)
	if err == nil {
		err = validateHolderAndHold(body.Holder, body.HoldMs)
	}
	if err != nil {
		s.reject(w, err)
		return
	}
	s.call(w, r, &pb.CoordinationCall{Operation: &pb.CoordinationCall_Renew{Renew: &pb.RenewLock{
		Name:   id,
		Holder: body.Holder,
		Fence:  uint64(body.Fence),
		HoldMs: holdMilliseconds(body.HoldMs),
	}}}, respondDone)
}

// holdMilliseconds rounds a hold time up to whole milliseconds: the caller assumes that it holds the lock for the whole
// time that it requested.
func holdMilliseconds(hold float64) uint32 { return uint32(math.Ceil(hold)) }

// ReleaseLock releases a lock.
func (s *Server) ReleaseLock(w http.ResponseWriter, r *http.Request, id coordination.CoordinationID) {
	var body coordination.LockRelease
	err := readIDAndBody(w, r, id, &body, fieldHolder, fieldFence)
	if err == nil {
		err = validateHolder(body.Holder)
	}
	if err != nil {
		s.reject(w, err)
		return
	}
	s.call(w, r, &pb.CoordinationCall{Operation: &pb.CoordinationCall_Release{Release: &pb.ReleaseLock{
		Name:   id,
		Holder: body.Holder,
		Fence:  uint64(body.Fence),
	}}}, respondDone)
}

// NextNumber responds with a number above all that were given under the same name.
func (s *Server) NextNumber(w http.ResponseWriter, r *http.Request, id coordination.CoordinationID) {
	if err := validateID(id); err != nil {
		s.reject(w, err)
		return
	}
	s.call(w, r, &pb.CoordinationCall{Operation: &pb.CoordinationCall_NextNumber{
		NextNumber: &pb.NextNumber{Name: id},
	}}, respondNumber)
}

// PutKey writes a key.
func (s *Server) PutKey(w http.ResponseWriter, r *http.Request, id coordination.CoordinationID) {
	var body coordination.KeyPut
	err := readIDAndBody(w, r, id, &body, fieldValue)
	if err == nil {
		err = validateValue(body.Val)
	}
	if err != nil {
		s.reject(w, err)
		return
	}
	s.call(w, r, &pb.CoordinationCall{Operation: &pb.CoordinationCall_Put{Put: &pb.PutKey{
		Name:             id,
		Value:            body.Val,
		ExpectedRevision: (*uint64)(body.Enabled),
	}}}, respondRevision)
}

// ReadKey reads a key.
func (s *Server) ReadKey(w http.ResponseWriter, r *http.Request, id coordination.CoordinationID) {
	if err := validateID(id); err != nil {
		s.reject(w, err)
		return
	}
	s.call(w, r, &pb.CoordinationCall{Operation: &pb.CoordinationCall_Read{Read: &pb.ReadKey{Name: id}}}, respondValue)
}

// WatchGroup waits for puts to the keys of a group.
func (s *Server) WatchGroup(w http.ResponseWriter, r *http.Request, id coordination.CoordinationID, params coordination.WatchGroupParams) {
	if err := validateWatch(id, params.WaitMs); err != nil {
		s.reject(w, err)
		return
	}
	watch := &pb.WatchGroup{Group: id}
	if params.After != nil {
		watch.After = *params.After
	}
	if params.WaitMs != nil {
		watch.WaitMs = uint32(min(*params.WaitMs, float64(maxWatchWait.Milliseconds())))
	}
	s.watch(w, r, &pb.CoordinationCall{Operation: &pb.CoordinationCall_Watch{Watch: watch}})
}

// call executes a call and responds with its result.
func (s *Server) call(w http.ResponseWriter, r *http.Request, call *pb.CoordinationCall, respond responder) {
	result, err := s.execute(r.Context(), s.callSlots, call)
	if err != nil {
		s.reject(w, err)
		return
	}
	s.respond(w, result, respond)
}

// watch executes a watch and responds with its result. The watch ends when the machine shuts down. As a watch changes
// nothing, a watch without a result counts as not executed.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, call *pb.CoordinationCall) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go func() {
		select {
		case <-s.options.ShuttingDown:
			cancel()
		case <-ctx.Done():
		}
	}()
	result, err := s.execute(ctx, s.watchSlots, call)
	switch {
	case err != nil:
		s.reject(w, err)
	case result.GetOutcome() == pb.CoordinationResult_OUTCOME_UNKNOWN:
		s.reject(w, &NotExecutedError{})
	default:
		s.respond(w, result, respondEvents)
	}
}

// execute executes a call if this machine is ready and a slot is free. Otherwise the call is not executed and the error
// is a RejectionError.
func (s *Server) execute(ctx context.Context, slots httpapi.Slots, call *pb.CoordinationCall) (*pb.CoordinationResult, error) {
	if !s.options.Ready() {
		return nil, &httpapi.NotReadyError{}
	}
	if !slots.TryAcquire() {
		return nil, &TooManyCallsError{}
	}
	defer slots.Release()
	return s.options.Calls.Call(ctx, call), nil
}
