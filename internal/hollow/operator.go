package hollow

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// orderLimit bounds the wait for an order's answer.
const orderLimit = 5 * time.Second

// operators sends configurations as those of a deployment do.
type operators struct {
	deployment Deployment
	client     http.Client
	generation uint64 // in force
	next       int    // control machine that is asked next
}

// OrderError tells that an order was refused.
type OrderError struct {
	Status int
	Body   string
}

func (e *OrderError) Error() string {
	return fmt.Sprintf("an order was answered %d: %s", e.Status, e.Body)
}

func newOperator(d Deployment) *operators {
	return &operators{deployment: d, client: http.Client{Timeout: orderLimit}}
}

func routeBody(number int, deadline uint64) string {
	return fmt.Sprintf(`{"name":"r-%04d","vhost":"h%d.example","path-prefix":"/p%04d/","route-kind":"streaming","deadline-ms":%d,`+
		`"target-ms":1500,"prio":1,"backend":"model-0","tries":2,"pinned":true,"resumable":true,"gap_aim_ms":400,"home-regions":[]}`,
		number, number%50, number, deadline)
}

// replace sends the whole first configuration.
func (o *operators) replace(ctx context.Context) error {
	routes := make([]string, o.deployment.Routes)
	for number := range routes {
		routes[number] = routeBody(number, 5000)
	}
	body := fmt.Sprintf(`{"gen":1,"routes":[%s],"backends":[{"name":"model-0","max-conns":360},{"name":"model-1"},{"name":"model-2"}]}`,
		strings.Join(routes, ","))
	if err := o.send(ctx, "/api/conf/replace", body); err != nil {
		return err
	}
	o.generation = 1
	return nil
}

// amend changes one route.
func (o *operators) amend(ctx context.Context) error {
	generation := o.generation + 1
	number := int(generation) % o.deployment.Routes
	body := fmt.Sprintf(`{"gen":%d,"routes":[%s]}`, generation, routeBody(number, 5000+generation))
	if err := o.send(ctx, "/api/conf/amend", body); err != nil {
		return err
	}
	o.generation = generation
	return nil
}

// send sends an order to one control machine after the other, until one takes it.
func (o *operators) send(ctx context.Context, path, body string) error {
	var err error
	for range 2 * o.deployment.Controls {
		err = o.try(ctx, path, body)
		var refused *OrderError
		if err == nil || errors.As(err, &refused) && refused.Status != http.StatusServiceUnavailable {
			return err
		}
		o.next++
	}
	return err
}

func (o *operators) try(ctx context.Context, path, body string) error {
	address := o.deployment.controlAddress(o.next % o.deployment.Controls)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return errors.Wrap(err, "form an order")
	}
	request.Header.Set("X-Fieldrelay-Base-Rev", strconv.FormatUint(o.generation, 10))
	response, err := o.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "send an order")
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
	if response.StatusCode != http.StatusOK {
		return &OrderError{Status: response.StatusCode, Body: string(answer)}
	}
	return nil
}
