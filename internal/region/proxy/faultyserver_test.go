package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/proxy/upstream"
)

// faultyServer is a server for trials. It injects the fault of the current trial once, and otherwise serves without faults.
type faultyServer struct {
	server  upstream.Server
	record  *trialRecord
	current atomic.Pointer[trial]
	arrived chan struct{} // receives a value when a trial with clientDisconnects has reached its offset
	release atomic.Pointer[chan struct{}]
	busy    atomic.Int64 // connections with a request that was partly read and not yet responded to
	length  atomic.Int64 // length in bytes of the last request that was read completely
}

func newFaultyServer(t *testing.T, name string, record *trialRecord) *faultyServer {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &faultyServer{
		server:  upstream.Server{ID: name, Address: listener.Addr().String()},
		record:  record,
		arrived: make(chan struct{}, 1),
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn.(*net.TCPConn))
		}
	}()
	return s
}

// smallWindow is the size of the receive buffer, which bounds how much of a request the kernel accepts for a server that
// doesn't read.
const smallWindow = 256 << 10

// serverConn is one connection to a faultyServer.
type serverConn struct {
	*faultyServer
	conn    *net.TCPConn
	surplus string // bytes that are written before the next response
}

func (s *faultyServer) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadBuffer(smallWindow)
	v := &serverConn{faultyServer: s, conn: conn}
	if tr := s.current.Load(); tr != nil && !tr.reused && tr.stage == inRequest && tr.offset == 0 && s.current.CompareAndSwap(tr, nil) {
		s.busy.Add(1)
		defer s.busy.Add(-1)
		v.injectFault(tr, nil)
		return
	}
	for v.request() {
	}
}

// request reads one request and responds to it. It returns false if the connection is to be closed.
func (v *serverConn) request() bool {
	first := make([]byte, 1)
	if _, err := io.ReadFull(v.conn, first); err != nil {
		return false
	}
	v.busy.Add(1)
	defer v.busy.Add(-1)
	tr := v.current.Swap(nil)
	if tr != nil && tr.stage == inRequest {
		read := make([]byte, max(tr.offset, 1))
		read[0] = first[0]
		if _, err := io.ReadFull(v.conn, read[1:]); err != nil {
			return false
		}
		return v.injectFault(tr, read)
	}
	got, ok := v.readRequest(first)
	if !ok {
		return false
	}
	id := got.Header.Get(headerAttemptID)
	v.record.requestArrived(id, v.server.ID)
	if tr != nil {
		return v.injectFaultInResponse(tr, got)
	}
	after, _ := strconv.Atoi(got.Header.Get(headerLastEventID))
	v.record.requestExecuted(id, v.server.ID)
	head, body := answerOf(v.server.ID, id, isStreamTarget(got.RequestURI), after, framedByLength, reactsWell)
	surplus := v.surplus
	v.surplus = ""
	v.record.responseSent(id, v.server.ID, head+body, true)
	_, err := io.WriteString(v.conn, surplus+head+body)
	return err == nil && surplus == ""
}

// readRequest reads the rest of a request whose first bytes were read already, checks the request and records its length.
func (v *serverConn) readRequest(begun []byte) (*http.Request, bool) {
	seen := bytes.NewBuffer(bytes.Clone(begun))
	source := io.MultiReader(bytes.NewReader(begun), io.TeeReader(v.conn, seen))
	got, err := http.ReadRequest(bufio.NewReader(source))
	if err != nil {
		if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			v.record.checkBytes(seen.String())
		}
		return nil, false
	}
	body, err := io.ReadAll(got.Body)
	if err != nil {
		v.record.checkBytes(seen.String())
		return nil, false
	}
	v.length.Store(int64(seen.Len()))
	v.record.checkRequest(got, string(body))
	return got, true
}

// injectFault injects the trial's fault after the given bytes of a request were read.
func (v *serverConn) injectFault(tr *trial, read []byte) bool {
	v.record.requestArrived(tr.id, v.server.ID)
	switch tr.fault {
	case respondsEarly, respondsEarlyReadsLater, respondsEarlyCloses:
		return v.respondEarly(tr, read)
	}
	if int64(len(read)) >= v.length.Load() {
		v.record.requestExecuted(tr.id, v.server.ID) // the server may have begun to run it
	}
	switch tr.fault {
	case resetsConnection:
		_ = v.conn.SetLinger(0)
	case stopsResponding, clientDisconnects:
		v.stayUntilClosed(tr)
	}
	return false
}

// stayUntilClosed sends nothing and keeps the connection open until the other side closes it.
func (v *serverConn) stayUntilClosed(tr *trial) {
	if tr.fault == clientDisconnects {
		v.arrived <- struct{}{}
	}
	_, _ = io.Copy(io.Discard, v.conn)
}

func (v *serverConn) respondEarly(tr *trial, read []byte) bool {
	later := *v.release.Load()
	head, body := answerOf(v.server.ID, tr.id, tr.kind.stream, 0, tr.framing, tr.reaction)
	if tr.reaction != reactsDeclined {
		v.record.requestExecuted(tr.id, v.server.ID)
	}
	ends := tr.fault == respondsEarlyCloses || tr.framing == framedByEnd
	v.record.responseSent(tr.id, v.server.ID, head+body, ends)
	_, _ = io.WriteString(v.conn, head+body)
	if ends {
		return false
	}
	if tr.fault == respondsEarlyReadsLater {
		<-later
	}
	_, ok := v.readRequest(read)
	return ok
}

// injectFaultInResponse injects the trial's fault after offset bytes of the response were written.
func (v *serverConn) injectFaultInResponse(tr *trial, got *http.Request) bool {
	after, _ := strconv.Atoi(got.Header.Get(headerLastEventID))
	head, body := answerOf(v.server.ID, tr.id, tr.kind.stream, after, tr.framing, tr.reaction)
	wire := head + body
	if tr.reaction != reactsDeclined {
		v.record.requestExecuted(tr.id, v.server.ID)
	}
	other, otherBody := answerOf(v.server.ID, "other", false, 0, framedByLength, reactsWell)
	other += otherBody
	begun := wire[:min(tr.offset, len(wire))]
	switch tr.fault {
	case resetsConnection, stopsResponding, clientDisconnects:
		v.record.responseSent(tr.id, v.server.ID, begun, false)
		_, _ = io.WriteString(v.conn, begun)
		if tr.fault == resetsConnection {
			_ = v.conn.SetLinger(0)
		} else {
			v.stayUntilClosed(tr)
		}
		return false
	case closesConnection:
		v.record.responseSent(tr.id, v.server.ID, begun, true)
		_, _ = io.WriteString(v.conn, begun)
		return false
	case writesGarbage:
		garbage := begun + "\x00\xff no answer at all\r\n\r\n"
		v.record.responseSent(tr.id, v.server.ID, garbage, true)
		_, _ = io.WriteString(v.conn, garbage)
		return false
	}
	v.record.responseSent(tr.id, v.server.ID, wire, tr.framing == framedByEnd)
	switch tr.fault {
	case respondsTwice:
		_, _ = io.WriteString(v.conn, wire+wire[:min(tr.offset, len(wire))])
	case repeatsResponseLater:
		v.surplus = wire[:min(tr.offset, len(wire))]
		_, _ = io.WriteString(v.conn, wire)
	case respondsToOther:
		_, _ = io.WriteString(v.conn, other+wire)
	case splicesResponses:
		_, _ = io.WriteString(v.conn, other[:min(tr.offset, len(other)-1)]+wire)
	}
	return tr.framing != framedByEnd
}
