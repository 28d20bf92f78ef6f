package upstream

import (
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/testkit/explore"
)

// poolDepth is the number of events in each explored order; PROXY_POOL_DEPTH overrides it.
const poolDepth = 7

func explorePool(t *testing.T, steps poolSteps, depth int) (explore.Result, error) {
	server := listenTestServer(t)
	var last *poolSystem
	defer func() {
		if last != nil {
			last.end()
		}
	}()
	return explore.All(func() explore.System {
		if last != nil {
			last.end()
		}
		last = &poolSystem{steps: steps, server: server, pool: NewPool(Config{})}
		return last
	}, depth, 200_000)
}

func TestPoolInAllOrders(t *testing.T) {
	depth := poolDepth
	if configured := os.Getenv("PROXY_POOL_DEPTH"); configured != "" {
		_, err := fmt.Sscan(configured, &depth)
		require.NoError(t, err)
	}
	began := time.Now()
	result, err := explorePool(t, unmodifiedSteps(), depth)
	require.NoError(t, err)
	require.True(t, result.Full)
	t.Logf("depth %d: %+v in %v", depth, result, time.Since(began))
}

func TestExplorationFindsFaultsOfThePool(t *testing.T) {
	faults := map[string]struct {
		inject  func(*poolSteps)
		finding string
	}{
		"an idle connection is not checked": {func(s *poolSteps) {
			s.connect = func(pool *Pool, server Server) *Conn {
				if conn := pool.popIdle(server); conn != nil {
					return conn
				}
				return unmodifiedSteps().connect(pool, server)
			}
		}, "reused after the server had closed it or sent surplus bytes"},
		"request ids are not compared": {func(s *poolSteps) {
			s.receive = func(conn *Conn, _ string) (Response, error) {
				response, err := http.ReadResponse(conn.reader, nil) //nolint:bodyclose // the body ends with its connection
				return Response{response}, err
			}
		}, `received the body "answer to other"`},
		"a connection in use is added to the idle ones": {func(s *poolSteps) {
			s.connect = func(pool *Pool, server Server) *Conn {
				conn := unmodifiedSteps().connect(pool, server)
				if conn != nil {
					pool.putIdle(conn)
				}
				return conn
			}
		}, "both idle and in use"},
		"an aborted connection is added to the idle ones": {func(s *poolSteps) {
			s.discard = func(pool *Pool, conn *Conn) {
				conn.detachReader()
				pool.putIdle(conn)
			}
		}, "reused after the server had closed it or sent surplus bytes"},
		"a released connection keeps its read buffer": {func(s *poolSteps) {
			s.release = func(pool *Pool, conn *Conn) {
				if !conn.broken && !conn.HasBuffered() && pool.putIdle(conn) {
					return
				}
				pool.Discard(conn)
			}
		}, "has a read buffer"},
		"a closed pool keeps connections": {func(s *poolSteps) {
			s.release = func(pool *Pool, conn *Conn) {
				pool.closed = false
				pool.Release(conn)
			}
		}, "a closed pool has"},
		"a connection is not released": {func(s *poolSteps) {
			s.release = func(_ *Pool, conn *Conn) { conn.detachReader() }
		}, "neither idle nor in use"},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			steps := unmodifiedSteps()
			fault.inject(&steps)
			_, err := explorePool(t, steps, poolDepth)
			require.ErrorContains(t, err, fault.finding)
		})
	}
}
