package http

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/sidecar/logic"
	"fieldrelay/internal/sidecar/relay"
	"fieldrelay/internal/testkit/contract"
)

var transports = contract.TransportMaker{
	New: func(contract.T) relay.Transport {
		return NewTransport(Options{DialTimeout: time.Second, ConnIdle: time.Minute, DrainGrace: 500 * time.Millisecond, MaxConns: 16}, zerolog.Nop())
	},
	Request: func(callID string) *relay.Payload {
		return &relay.Payload{Method: "GET", Target: "/look", CallID: callID}
	},
	Complete: func(b []byte) int {
		return bytes.Index(b, []byte("\r\n\r\n")) + 4*min(1, 1+bytes.Index(b, []byte("\r\n\r\n")))
	},
	Answer: func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	},
}

func TestTransportContract(t *testing.T) { contract.Run(t, contract.TransportClauses, transports) }

// faultyTransport is a transport that breaks one clause of the contract on purpose.
type faultyTransport struct {
	relay.Transport
	fault string
	t     *testing.T // closes servers left open when the test ends
}

type faultyServer struct {
	relay.Server
	fault  string
	report func(relay.AttemptID, relay.Result)
}

func (b faultyTransport) Open(m relay.Member, report func(relay.AttemptID, relay.Result)) relay.Server {
	n := &faultyServer{fault: b.fault, report: report}
	switch b.fault {
	case "twice":
		report = func(id relay.AttemptID, r relay.Result) { n.report(id, r); n.report(id, r) }
	case "stray":
		report = func(id relay.AttemptID, r relay.Result) {
			if id.Request > 1 && r.Outcome == logic.Done {
				r.Body = []byte("stray")
			}
			n.report(id, r)
		}
	}
	n.Server = b.Transport.Open(m, report)
	b.t.Cleanup(n.Server.Close)
	return n
}

func (n *faultyServer) Start(c relay.Attempt) {
	n.Server.Start(c)
	if n.fault == "again" && c.ID.Request > 1 && c.ID.Request%2 == 1 {
		again := c
		again.ID.Attempt = 1
		n.Server.Start(again)
	}
	if n.fault == "waits" && c.ID.Request >= 100 {
		<-time.After(300 * time.Millisecond)
	}
}

func (n *faultyServer) Update(m relay.Member) {
	if n.fault != "gone" {
		n.Server.Update(m)
	}
}

func (n *faultyServer) Close() {
	if n.fault != "open" {
		n.Server.Close()
	}
}

// Each clause of the contract must detect the faulty transport that breaks it.
func TestBrokenTransportsAreNamed(t *testing.T) {
	for i, fault := range []string{"twice", "again", "stray", "waits", "gone", "open"} {
		m := transports
		m.New = func(inner contract.T) relay.Transport { return faultyTransport{transports.New(inner), fault, t} }
		if clause := contract.TransportClauses[i]; clause.Check(t, m) == nil {
			t.Errorf("%s: the clause accepts a transport with the fault %q", clause.Name, fault)
		}
	}
}
