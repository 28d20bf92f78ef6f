package control

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/api/fieldrelay/v1/fieldrelayv1connect"
)

// A machine that could not read compressed deliveries is restarted with a version that can. Deliveries to it must then
// be compressed, although its sender was never idle and so was not replaced.
func TestDeliveriesAreCompressedAfterTheOtherMachineWasUpgraded(t *testing.T) {
	const deliveries = 20
	other := &deliveryReceiver{received: make(chan *pb.Message, 16), release: make(chan struct{})}
	close(other.release)
	_, old := fieldrelayv1connect.NewControlPeerHandler(other, connect.WithCompression(gzipName, nil, nil))
	path, upgraded := fieldrelayv1connect.NewControlPeerHandler(other, CompressedDeliveries())
	var isUpgraded atomic.Bool
	var compressed atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc(path, func(w http.ResponseWriter, request *http.Request) {
		if !isUpgraded.Load() {
			old.ServeHTTP(w, request)
			return
		}
		if request.Header.Get("Content-Encoding") == gzipName {
			compressed.Add(1)
		}
		upgraded.ServeHTTP(w, request)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	other.address = strings.TrimPrefix(server.URL, "http://")

	senders := newPeerSenders(t.Context(), &counters{})
	senders.send(other.address, largeAppend())
	require.NotNil(t, other.next())
	server.CloseClientConnections()
	isUpgraded.Store(true)
	for range deliveries {
		senders.send(other.address, largeAppend())
		require.NotNil(t, other.next())
	}
	require.Positive(t, compressed.Load())
}
