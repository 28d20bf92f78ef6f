package proxy

import (
	"fmt"
	"strings"
)

// requestKind is a kind of request, with the rules for its executions.
type requestKind struct {
	name    string
	target  string
	stream  bool
	maxRuns int // runs that are allowed
	resume  bool
}

var requestKinds = []requestKind{
	{name: "mutating", target: "/long/m/x", maxRuns: 1},
	{name: "idempotent", target: "/long/i/x", maxRuns: 2},
	{name: "plain stream", target: "/long/s/x", stream: true, maxRuns: 1},
	{name: "resumable stream", target: "/long/r/x", stream: true, maxRuns: 3, resume: true},
}

func isStreamTarget(target string) bool {
	return strings.HasPrefix(target, "/long/s/") || strings.HasPrefix(target, "/long/r/")
}

// framing is how a response is delimited.
type framing int

const (
	framedByLength framing = iota
	framedByChunks
	framedByEnd // close-delimited
	framings
)

// reaction is a server's response to a request that it has read.
type reaction int

const (
	reactsWell        reaction = iota // 200
	reactsFailed                      // 500
	reactsDeclined                    // 503 with X-Fieldrelay-Not-Executed
	reactsAmbiguously                 // 503 without X-Fieldrelay-Not-Executed
	reactions
)

// stage is where a server injects its fault.
type stage int

const (
	inRequest stage = iota // after offset bytes of the request were read
	inAnswer               // after offset bytes of the response were written
)

// fault is what a server does at the offset.
type fault int

const (
	resetsConnection        fault = iota
	closesConnection              // in both directions
	stopsResponding               // and keeps the connection open
	respondsEarly                 // then reads the rest of the request
	respondsEarlyReadsLater       // like respondsEarly, but reads the rest after the client has received the response
	respondsEarlyCloses           // responds early, then closes the connection
	writesGarbage                 // then closes the connection
	respondsTwice                 // sends the beginning of the response once more directly after it
	repeatsResponseLater          // sends the beginning of the response once more before the next one
	respondsToOther               // sends a response with another request's id, then its own
	splicesResponses              // sends bytes of another response directly before its own
	clientDisconnects             // the server stops responding, and the client disconnects
)

var faultNames = map[fault]string{
	resetsConnection: "resets", closesConnection: "closes", stopsResponding: "stops responding", respondsEarly: "responds early",
	respondsEarlyReadsLater: "responds early and reads the rest later", respondsEarlyCloses: "responds early and closes", writesGarbage: "writes garbage",
	respondsTwice: "responds twice", repeatsResponseLater: "repeats its response later", respondsToOther: "sends another response first",
	splicesResponses: "splices responses", clientDisconnects: "stops responding, client disconnects",
}

// trial is one request to a server that injects one fault.
type trial struct {
	kind     requestKind
	framing  framing
	reaction reaction
	reused   bool // the connection to the server has been used before
	stage    stage
	offset   int // bytes
	fault    fault
	id       string
	payload  string
}

func (tr *trial) String() string {
	where := "of the request"
	if tr.stage == inAnswer {
		where = "of the response"
	}
	return fmt.Sprintf("%s, framing %d, reaction %d, reused %v: server %s at byte %d %s",
		tr.kind.name, tr.framing, tr.reaction, tr.reused, faultNames[tr.fault], tr.offset, where)
}

// eventsPerStream is the number of events in each stream.
const eventsPerStream = 4

func eventOf(id, server string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s by %s\n\n", number, id, server)
}

// answerOf returns the head and the framed body with which a server responds to a request.
func answerOf(server, id string, stream bool, after int, framed framing, react reaction) (head, body string) {
	var parts []string
	switch {
	case react != reactsWell:
		parts = []string{"why not"}
	case stream:
		for number := after + 1; number <= eventsPerStream; number++ {
			parts = append(parts, eventOf(id, server, number))
		}
	default:
		parts = []string{id, " by ", server}
	}
	whole := strings.Join(parts, "")
	// The first header is one without a meaning to the proxy, since bytes of another response may end within it.
	header := "Content-Type: text/plain\r\n"
	if stream && react == reactsWell {
		header = "Content-Type: text/event-stream\r\n"
	}
	header += headerAttemptID + ": " + id + "\r\n"
	status := map[reaction]string{reactsWell: "200 OK", reactsFailed: "500 Failed", reactsDeclined: "503 Full", reactsAmbiguously: "503 Full"}[react]
	if react == reactsDeclined {
		header += headerNotExecuted + ": 1\r\n"
	} else {
		header += headerServerSeal + ": " + server + "\r\n"
	}
	body = whole
	switch framed {
	case framedByLength:
		header += fmt.Sprintf("Content-Length: %d\r\n", len(whole))
	case framedByChunks:
		header += "Transfer-Encoding: chunked\r\n"
		body = ""
		for _, part := range parts {
			body += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		body += "0\r\n\r\n"
	}
	return "HTTP/1.1 " + status + "\r\n" + header + "\r\n", body
}
