package controlserver

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/api/operator"
)

const (
	// platformTimeout is the maximum duration of one call to the platform.
	platformTimeout = time.Second

	// maxPages is the maximum number of pages of one poll.
	maxPages = 200

	// maxPageBytes is the maximum size of one page of the list.
	maxPageBytes = 4 << 20
)

// PlatformStatusError is returned for a response of the platform whose status is not 200.
type PlatformStatusError struct{ Status int }

// Error returns a message with the status.
func (e *PlatformStatusError) Error() string {
	return fmt.Sprintf("platform returned HTTP status %d, want 200", e.Status)
}

// PlatformListError is returned for a server list of the platform that cannot be used.
type PlatformListError struct{ Reason string }

// Error returns a message with the reason.
func (e *PlatformListError) Error() string { return "invalid server list of the platform: " + e.Reason }

// platformClient reads the platform's server list over HTTP. It is safe for concurrent use; its calls share one
// connection.
type platformClient struct {
	client *http.Client
}

func newPlatformClient() *platformClient {
	dialer := &net.Dialer{Timeout: platformTimeout, Control: setUserTimeout}
	return &platformClient{client: &http.Client{
		Timeout: platformTimeout,
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 1,
			MaxConnsPerHost:     1,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
			ReadBufferSize:      4 << 10,
			WriteBufferSize:     1 << 10,
		},
	}}
}

// Read reads the complete list, page by page, from the platform's address (ip:port). It also returns the number of
// calls made, failed ones included, since the platform limits their rate. The error is a *PlatformStatusError, a
// *PlatformListError or an error of the connection.
func (p *platformClient) Read(ctx context.Context, address string) ([]*pb.Server, int, error) {
	var servers []*pb.Server
	token := ""
	for pages := 1; pages <= maxPages; pages++ {
		page, err := p.readPage(ctx, address, token)
		if err != nil {
			return nil, pages, err
		}
		for _, entry := range page.Servers {
			if server, valid := serverFrom(entry); valid {
				servers = append(servers, server)
			}
		}
		if page.NextToken == nil || *page.NextToken == "" {
			return servers, pages, nil
		}
		token = *page.NextToken
	}
	return nil, maxPages, &PlatformListError{Reason: fmt.Sprintf("list has more than %d pages", maxPages)}
}

// readPage reads one page; token is the next-page token of the previous page, empty for the first page.
func (p *platformClient) readPage(ctx context.Context, address, token string) (*operator.ServerPage, error) {
	target := url.URL{Scheme: "http", Host: address, Path: "/servers"}
	if token != "" {
		target.RawQuery = url.Values{"page-token": {token}}.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request to the platform")
	}
	response, err := p.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "call the platform")
	}
	defer func() { _ = response.Body.Close() }() // a failed read has been reported already
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read the platform's response")
	}
	if response.StatusCode != http.StatusOK {
		return nil, &PlatformStatusError{Status: response.StatusCode}
	}
	if len(body) > maxPageBytes {
		return nil, &PlatformListError{Reason: "page exceeds the maximum size"}
	}
	page := &operator.ServerPage{}
	if err := json.Unmarshal(body, page); err != nil {
		return nil, &PlatformListError{Reason: err.Error()}
	}
	return page, nil
}

// serverFrom converts an entry of the list to a message. It returns false for an entry without instance, service or
// valid address, to which no request could be sent.
func serverFrom(entry operator.ServerEntry) (*pb.Server, bool) {
	if entry.InstID == "" || entry.Backend == "" {
		return nil, false
	}
	if _, err := netip.ParseAddrPort(entry.Address); err != nil {
		return nil, false
	}
	server := &pb.Server{
		Id:         entry.InstID,
		Service:    entry.Backend,
		Address:    entry.Address,
		Zone:       entry.Az,
		Capacity:   roundUp(entry.Capacity),
		Draining:   entry.Phase != operator.Up,
		WarmLeftMs: roundUp(valueOrZero(entry.WarmLeftMs)),
		Software:   valueOrZero(entry.Gen),
	}
	if entry.ExpiresMs != nil {
		server.ExpiresMs = max(1, roundUp(*entry.ExpiresMs))
	}
	for _, model := range valueOrZero(entry.Models) {
		server.Models = append(server.Models, model.Name)
	}
	return server, true
}

// valueOrZero returns the value of an optional member, or the zero value if the member is missing.
func valueOrZero[T any](value *T) T {
	if value == nil {
		var zero T
		return zero
	}
	return *value
}

// roundUp rounds a number of the list up to an integer and clamps it to the range of uint32; NaN counts as 0.
func roundUp(figure float64) uint32 {
	if math.IsNaN(figure) {
		return 0
	}
	return uint32(min(max(math.Ceil(figure), 0), math.MaxUint32))
}
