package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// A request whose client disconnects before its last byte reaches no server, whatever the byte.
func TestClientThatLeavesWithinItsRequestReachesNoServer(t *testing.T) {
	w := newTrialWorker(t, unwrapped)
	const id = "left-early"
	for _, kind := range requestKinds {
		for framing, request := range map[string]string{
			"length": "Content-Length: 10\r\n\r\n0123456789",
			"chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n",
		} {
			whole := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s", kind.target, headerAttemptID, id, request)
			for sent := range len(whole) {
				conn, err := net.Dial("tcp4", w.proxy.address)
				require.NoError(t, err)
				_, err = io.WriteString(conn, whole[:sent])
				require.NoError(t, err)
				if sent%2 == 0 {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				require.NoError(t, conn.Close())
			}
			require.True(t, becomesTrue(testTimeout, func() bool { return w.proxy.handler.counters.connections.Load() == 0 }))
			for _, server := range []*faultyServer{w.first, w.second} {
				require.False(t, w.record.reachedServer(id, server.server.ID), "%s, %s", kind.name, framing)
			}
		}
	}
}

// Each pipelined request gets its own response, in the order of the requests.
func TestRequestsThatComeTogetherGetTheirOwnAnswersInOrder(t *testing.T) {
	w := newTrialWorker(t, unwrapped)
	conn, err := net.Dial("tcp4", w.proxy.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	all, ids := "", []string{}
	for number := range 20 {
		id, target := fmt.Sprintf("s-%06d", number), requestKinds[number%len(requestKinds)].target
		payload := "payload of " + id
		w.record.requestSent(id, target, payload)
		ids = append(ids, id)
		all += fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", target, headerAttemptID, id, len(payload), payload)
	}
	_, err = io.WriteString(conn, all)
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	for number, id := range ids {
		got := readResult(reader)
		require.True(t, got.complete)
		require.Equal(t, 200, got.status)
		require.Equal(t, id, got.id)
		require.Empty(t, w.record.check(&trial{id: id, kind: requestKinds[number%len(requestKinds)]}, got))
	}
}
