package proxy

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fieldrelay/internal/region/route"
)

func TestOriginForm(t *testing.T) {
	cases := map[string]string{
		"/a/b?c=%2f&d":   "/a/b?c=%2f&d",
		"/a/../b//c%20d": "/a/../b//c%20d",
		"http://h:8/a?b": "/a?b",
		"http://h":       "/",
		"http://h?x=/y":  "/?x=/y",
	}
	for target, want := range cases {
		got, ok := originForm(target)
		require.True(t, ok, target)
		require.Equal(t, want, got)
	}
	for _, target := range []string{"*", "h:443", ""} {
		_, ok := originForm(target)
		require.False(t, ok, target)
	}
	require.Equal(t, "/a", pathOf("/a?b?c"))
}

func TestAttemptHead(t *testing.T) {
	head := attemptHead{
		method: "POST", target: "/p/x?y=%zz", host: "Host.example:80", attemptID: "id1", serverID: "i-7",
		remaining: 1500*time.Millisecond + 999*time.Microsecond, priority: 3, bodyLength: 4,
		header: http.Header{
			"X-Own":              {"1", "2"},
			"Connection":         {"close, X-Private", "X-Other"},
			"X-Private":          {"p"},
			"X-Other":            {"o"},
			"Keep-Alive":         {"timeout=4"},
			"Te":                 {"trailers"},
			"Transfer-Encoding":  {"chunked"},
			"Upgrade":            {"h2c"},
			"Proxy-Connection":   {"close"},
			"Content-Length":     {"9"},
			"Expect":             {"100-continue"},
			"Priority":           {"9"},
			headerDeadline:       {"99999"},
			headerAttemptID:      {"id1"},
			headerExpectServer:   {"i-other"},
			headerPromptPrefix:   {"a:1"},
			"Cookie":             {"a=b"},
			"X-Forwarded-For":    {"9.9.9.9"},
			"Content-Type":       {"text/plain"},
			"Accept-Encoding":    {"gzip"},
			"If-None-Match":      {"\"e\""},
			"Last-Event-Id":      {"5"},
			"X-Empty":            {""},
			"Authorization":      {"secret"},
			"Proxy-Authenticate": {"kept"},
		},
	}
	text := string(head.appendTo(nil))
	require.True(t, strings.HasPrefix(text, "POST /p/x?y=%zz HTTP/1.1\r\nHost: Host.example:80\r\n"))
	require.True(t, strings.HasSuffix(text, "\r\n\r\n"))
	request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(strings.Replace(text, "%zz", "", 1))))
	require.NoError(t, err)
	want := http.Header{
		"X-Own": {"1", "2"}, "Priority": {"3"}, headerDeadline: {"1500"}, headerAttemptID: {"id1"},
		headerExpectServer: {"i-7"}, headerPromptPrefix: {"a:1"}, "Cookie": {"a=b"}, "X-Forwarded-For": {"9.9.9.9"},
		"Content-Type": {"text/plain"}, "Accept-Encoding": {"gzip"}, "If-None-Match": {"\"e\""},
		"Last-Event-Id": {"5"}, "X-Empty": {""}, "Authorization": {"secret"}, "Proxy-Authenticate": {"kept"},
		"Content-Length": {"4"},
	}
	require.Equal(t, want, request.Header)
}

func TestAttemptHeadOfAContinuedStream(t *testing.T) {
	head := attemptHead{
		method: "GET", target: "/", host: "h", attemptID: "i", lastEventID: "7",
		header: http.Header{"Last-Event-Id": {"3"}},
	}
	text := string(head.appendTo(nil))
	require.Equal(t, 1, strings.Count(text, "Last-Event-Id"))
	require.Contains(t, text, "Last-Event-Id: 7\r\n")
	require.NotContains(t, text, "Content-Length")
	require.Contains(t, text, headerDeadline+": 1\r\n")
}

func TestCopyAnswerHeader(t *testing.T) {
	to := http.Header{}
	copyResponseHeader(to, http.Header{
		headerServerSeal: {"seal"}, "Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=2"},
		"Content-Length": {"3"}, "Set-Cookie": {"a", "b"}, "Content-Encoding": {"br"},
	})
	require.Equal(t, http.Header{
		headerServerSeal: {"seal"}, "Set-Cookie": {"a", "b"}, "Content-Encoding": {"br"},
		"Date": nil, "Content-Type": nil,
	}, to)
}

func TestRetryAfter(t *testing.T) {
	require.Equal(t, "0.050", formatRetryAfter(50*time.Millisecond))
	require.Equal(t, "1.251", formatRetryAfter(1250*time.Millisecond+1))
	require.Equal(t, "0.001", formatRetryAfter(0))
}

func TestTimeoutFor(t *testing.T) {
	limited := &route.Route{Deadline: 2 * time.Second}
	cases := []struct {
		value string
		want  time.Duration
	}{
		{"", 2 * time.Second},
		{"1500", 1500 * time.Millisecond},
		{" 10.5 ", 10500 * time.Microsecond},
		{"5000", 2 * time.Second},
		{"x", 2 * time.Second},
		{"-1", 2 * time.Second},
		{"1e300", 2 * time.Second},
	}
	for _, test := range cases {
		header := http.Header{}
		if test.value != "" {
			header.Set(headerDeadline, test.value)
		}
		require.Equal(t, test.want, timeoutFor(header, limited), test.value)
	}
	require.Equal(t, maxDeadline, timeoutFor(http.Header{}, &route.Route{}))
}

// A first try, a client's repeat and a caller in a hurry are alike to placement: only the time that is left tells them
// apart.
func TestPlacementDoesNotTellFirstTriesFromRepeats(t *testing.T) {
	found := &route.Route{Deadline: 5 * time.Second, Split: []route.WeightedService{{Service: "s", Weight: 1}}}
	first := placementRequest(http.Header{}, found, 0)
	for _, value := range []string{"5000", "4978", "4800", "300", "9000"} {
		header := http.Header{}
		header.Set(headerDeadline, value)
		require.Equal(t, first, placementRequest(header, found, 0), value)
	}
}

func TestTokenCounts(t *testing.T) {
	prompt, generate := tokenCounts("1460, 80")
	require.Equal(t, []int{1460, 80}, []int{prompt, generate})
	prompt, generate = tokenCounts("x")
	require.Zero(t, prompt+generate)
	prompt, generate = tokenCounts("-5,7")
	require.Equal(t, []int{0, 7}, []int{prompt, generate})
}

func TestIsLaterID(t *testing.T) {
	require.True(t, isLaterID("9", "10"))
	require.False(t, isLaterID("10", "9"))
	require.False(t, isLaterID("10", "10"))
	require.True(t, isLaterID("a", "b"))
	require.False(t, isLaterID("a", "a"))
}

func TestMemoryBound(t *testing.T) {
	bound := newMemoryLimit(10)
	require.True(t, bound.reserve(6))
	require.False(t, bound.reserve(5))
	require.True(t, bound.reserve(4))
	bound.release(10)
	require.Zero(t, bound.used.Load())
}

func TestPlanDrain(t *testing.T) {
	require.Equal(t, drainPlan{unaware: 1500 * time.Millisecond, reject: 3500 * time.Millisecond, abort: 7500 * time.Millisecond}, planDrain(8*time.Second))
	require.Equal(t, drainPlan{unaware: 1500 * time.Millisecond, reject: 1500 * time.Millisecond, abort: 3500 * time.Millisecond}, planDrain(4*time.Second))
	require.Equal(t, drainPlan{unaware: 300 * time.Millisecond, reject: 300 * time.Millisecond, abort: 450 * time.Millisecond}, planDrain(900*time.Millisecond))
}

// splitEvents scans data in pieces of the given sizes and returns the complete events.
func splitEvents(data []byte, sizes []int) (events []string, scanner *eventScanner) {
	scanner = newEventScanner()
	var current []byte
	for _, size := range sizes {
		piece := data[:min(size, len(data))]
		data = data[len(piece):]
		for len(piece) > 0 {
			scanned, complete := scanner.scan(piece)
			current = append(current, piece[:scanned]...)
			piece = piece[scanned:]
			if complete {
				events = append(events, string(current))
				current = nil
			}
		}
	}
	return events, scanner
}

func TestEventScanner(t *testing.T) {
	cases := map[string]struct {
		text   string
		events int
		lastID string
	}{
		"one":              {"id: 1\ndata: a\n\n", 1, "1"},
		"two":              {"id: 1\ndata: a\n\nid:2\ndata: b\n\n", 2, "2"},
		"carriage returns": {"id: 1\r\ndata: a\r\n\r\n", 1, "1"},
		"truncated":        {"id: 1\ndata: a\n\nid: 2\ndata:", 1, "1"},
		"truncated line":   {"id: 1\ndata: a\n\nid: 2\ndata: b\n", 1, "1"},
		"without id":       {"id: 1\ndata: a\n\ndata: b\n\n", 2, "1"},
		"version line":     {"versions: 3\nid: 1\ndata: a\n\n", 1, "1"},
		"id in the data":   {"id: 1\ndata: id: 9\n\n", 1, "1"},
		"comment":          {": ping\n\n", 1, ""},
		"return in the id": {"id: 1\n\nid: 2\rX-Other: 3\n\n", 2, "1"},
		"not header text":  {"id: 1\n\nid: \x00\xff\n\n", 2, "1"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			data := []byte(test.text)
			for size := 1; size <= len(data); size++ {
				sizes := bytes.Repeat([]byte{byte(size)}, len(data)/size+1)
				pieces := make([]int, len(sizes))
				for i, s := range sizes {
					pieces[i] = int(s)
				}
				events, scanner := splitEvents(data, pieces)
				require.Len(t, events, test.events)
				require.Equal(t, test.lastID, scanner.lastID)
				require.True(t, strings.HasPrefix(test.text, strings.Join(events, "")))
			}
		})
	}
}

func TestEventWithATooLongIDCountsAsWithoutID(t *testing.T) {
	for _, length := range []int{maxIDLine - len("id: ") - 1, maxIDLine, 2 * maxIDLine} {
		scanner := newEventScanner()
		data := []byte("id: 1\n\nid: " + strings.Repeat("9", length) + "\n\n")
		scanned, complete := scanner.scan(data)
		require.True(t, complete)
		_, complete = scanner.scan(data[scanned:])
		require.True(t, complete)
		require.Equal(t, length >= maxIDLine, scanner.eventWithoutID)
		require.Equal(t, length >= maxIDLine, scanner.lastID == "1")
	}
}

func TestEventScannerFindsEventsInPiecesOfAnySize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		event := rapid.StringMatching(`(id: ?[0-9]{1,3}\r?\n)?(data: [a-z]{0,9}\r?\n){1,3}\r?\n`)
		want := rapid.SliceOfN(event, 0, 6).Draw(t, "events")
		data := []byte(strings.Join(want, ""))
		sizes := rapid.SliceOfN(rapid.IntRange(1, 20), len(data), len(data)).Draw(t, "sizes")
		got, _ := splitEvents(data, sizes)
		require.Equal(t, len(want), len(got))
		for i := range want {
			require.Equal(t, want[i], got[i])
		}
	})
}
