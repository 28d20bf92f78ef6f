package http

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/contract"
	"fieldrelay/internal/relay"
	"fieldrelay/logic"
)

var transports = contract.NodesMaker{
	New: func(contract.T) relay.Nodes {
		return NewNodes(Options{DialTimeout: time.Second, ConnIdle: time.Minute, DrainGrace: 500 * time.Millisecond, MaxConns: 16}, zerolog.Nop())
	},
	Request: func(callID string) *relay.Request {
		return &relay.Request{Method: "GET", Target: "/look", CallID: callID}
	},
	Whole: func(b []byte) int {
		return bytes.Index(b, []byte("\r\n\r\n")) + 4*min(1, 1+bytes.Index(b, []byte("\r\n\r\n")))
	},
	Answer: func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	},
}

func TestTransportContract(t *testing.T) { contract.Run(t, contract.NodesClauses, transports) }

// bent is a transport that is wrong on purpose.
type bent struct {
	relay.Nodes
	wrong string
	t     *testing.T // at whose end a node left open is closed
}

type bentNode struct {
	relay.Node
	wrong  string
	report func(relay.ClaimID, relay.Result)
}

func (b bent) Open(m relay.Member, report func(relay.ClaimID, relay.Result)) relay.Node {
	n := &bentNode{wrong: b.wrong, report: report}
	switch b.wrong {
	case "twice":
		report = func(id relay.ClaimID, r relay.Result) { n.report(id, r); n.report(id, r) }
	case "stray":
		report = func(id relay.ClaimID, r relay.Result) {
			if id.Job > 1 && r.Outcome == logic.Done {
				r.Body = []byte("stray")
			}
			n.report(id, r)
		}
	}
	n.Node = b.Nodes.Open(m, report)
	b.t.Cleanup(n.Node.Close)
	return n
}

func (n *bentNode) Claim(c relay.Claim) {
	n.Node.Claim(c)
	if n.wrong == "again" && c.ID.Job > 1 && c.ID.Job%2 == 1 {
		again := c
		again.ID.Attempt = 1
		n.Node.Claim(again)
	}
	if n.wrong == "waits" && c.ID.Job >= 100 {
		<-time.After(300 * time.Millisecond)
	}
}

func (n *bentNode) Update(m relay.Member) {
	if n.wrong != "gone" {
		n.Node.Update(m)
	}
}

func (n *bentNode) Close() {
	if n.wrong != "open" {
		n.Node.Close()
	}
}

// Each clause has a transport that breaks it, and is named.
func TestBrokenTransportsAreNamed(t *testing.T) {
	for i, wrong := range []string{"twice", "again", "stray", "waits", "gone", "open"} {
		m := transports
		m.New = func(inner contract.T) relay.Nodes { return bent{transports.New(inner), wrong, t} }
		if clause := contract.NodesClauses[i]; clause.Check(t, m) == nil {
			t.Errorf("%s: not named for a transport that is wrong by %q", clause.Name, wrong)
		}
	}
}
