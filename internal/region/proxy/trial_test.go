package proxy

import (
	"fmt"
	"strings"
)

// requestKind is a kind of request, by the rules that hold for its runs.
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

// framing is how the end of a response is marked.
type framing int

const (
	framedByLength framing = iota
	framedByChunks
	framedByEnd // the connection's
	framings
)

// reaction is what a server does with a request that it has read.
type reaction int

const (
	reactsWell        reaction = iota // 200
	reactsFailed                      // 500
	reactsDeclined                    // 503 that says that the request was not run
	reactsAmbiguously                 // 503 without
	reactions
)

// stage is where a server injects its fault.
type stage int

const (
	inRequest stage = iota // so many bytes of the request were read
	inAnswer               // so many bytes of the answer were written
)

// fault is what it does there.
type fault int

const (
	resetsConnection        fault = iota
	closesConnection              // both ways
	stopsResponding               // and keeps the connection
	respondsEarly                 // then reads on
	respondsEarlyReadsLater       // like respondsEarly, but reads on when its client has its answer
	respondsEarlyCloses           // answers early, then closes
	writesGarbage                 // then closes
	respondsTwice                 // at once
	repeatsResponseLater          // answers once more where the answer to the next request is due
	respondsToOther               // with the id of another request, then with its own
	splicesResponses              // bytes of another answer directly before its own
	clientDisconnects             // it falls silent, and the client leaves
)

var faultNames = map[fault]string{
	resetsConnection: "resets", closesConnection: "closes", stopsResponding: "falls silent", respondsEarly: "answers early",
	respondsEarlyReadsLater: "answers early, reads on later", respondsEarlyCloses: "answers early and closes", writesGarbage: "writes garbage",
	respondsTwice: "answers twice", repeatsResponseLater: "repeats its answer later", respondsToOther: "answers another first",
	splicesResponses: "splices answers", clientDisconnects: "is left by the client",
}

// trial is one request to a server that injects one fault.
type trial struct {
	kind     requestKind
	framing  framing
	reaction reaction
	reused   bool // the connection to the server has served before
	stage    stage
	offset   int // bytes
	fault    fault
	id       string
	payload  string
}

func (tr *trial) String() string {
	where := "of the request"
	if tr.stage == inAnswer {
		where = "of the answer"
	}
	return fmt.Sprintf("%s, framing %d, reaction %d, reused %v: server %s at byte %d %s",
		tr.kind.name, tr.framing, tr.reaction, tr.reused, faultNames[tr.fault], tr.offset, where)
}

// eventsPerStream is the number of events of a stream.
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
	// An ordinary header comes first: bytes of another answer may end within it.
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
