package soak

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// callLimit is the silence after which a call of the operator goes to another machine.
	callLimit = 1200 * time.Millisecond
	// orderLimit is how long a configuration is sent again before its fate is left open.
	orderLimit = 9 * time.Second
	// longestBackoff bounds the wait before a call is sent again.
	longestBackoff = 250 * time.Millisecond
	// longestThought bounds the time between two orders.
	longestThought = 300 * time.Millisecond
	// lostAnswers is the part, in percent, of first sendings whose connection is cut once the order went out.
	lostAnswers = 15
	readPeriod  = 60 * time.Millisecond
	headerBase  = "X-Fieldrelay-Base-Rev"
)

// chief is the operator: it changes the configuration in quick succession.
type chief struct {
	world   *world
	random  *rand.Rand
	drafts  drafter
	base    *order // the newest configuration it knows to be taken
	sent    []*order
	emptied string // zone that is evacuated, or may be; "": none
}

func newChief(w *world, seed uint64) *chief {
	random := rand.New(rand.NewPCG(seed, 2))
	return &chief{world: w, random: random, drafts: drafter{random: random}}
}

// found puts the first configuration in force.
func (c *chief) found(ctx context.Context) {
	first := c.drafts.first()
	for ctx.Err() == nil && first.result == unanswered {
		c.settle(ctx, c.random, first)
	}
	c.base = first
}

// work sends orders until ctx ends.
func (c *chief) work(ctx context.Context) {
	for c.world.wait(ctx, time.Duration(c.random.Int64N(int64(longestThought)))) {
		c.step(ctx)
	}
}

func (c *chief) step(ctx context.Context) {
	switch drawn := c.random.IntN(100); {
	case drawn < 8:
		c.settle(ctx, c.random, c.drafts.invalid(c.base))
	case drawn < 18:
		c.race(ctx)
	case drawn < 24:
		c.repeat(ctx)
	case drawn < 30:
		c.evacuate(ctx)
	default:
		c.change(ctx, c.drafts.next(c.base))
	}
}

// change sends a valid change and goes on from it if it was taken.
func (c *chief) change(ctx context.Context, next *order) {
	c.settle(ctx, c.random, next)
	if next.result == acknowledged {
		c.base = next
		return
	}
	c.reread(ctx)
}

// race sends two changes on one base at once.
func (c *chief) race(ctx context.Context) {
	pair := []*order{c.drafts.marked(c.base), c.drafts.marked(c.base)}
	var group sync.WaitGroup
	for _, one := range pair {
		random := rand.New(rand.NewPCG(c.random.Uint64(), 0))
		group.Go(func() { c.settle(ctx, random, one) })
	}
	group.Wait()
	for _, one := range pair {
		if one.result == acknowledged {
			c.base = one
			return
		}
	}
	c.reread(ctx)
}

// repeat sends an order again that was acknowledged some time ago.
func (c *chief) repeat(ctx context.Context) {
	old := c.sent[len(c.sent)-1-c.random.IntN(min(len(c.sent), 20))]
	if old.result != acknowledged {
		return
	}
	sentAt := c.world.history.now()
	status, _ := c.call(ctx, c.anyControl(c.random), old.request)
	c.world.history.do(func() {
		c.world.history.repeats = append(c.world.history.repeats, repeat{generation: old.generation, status: status, sentAt: sentAt})
	})
}

// reread goes on from the configuration that a machine reads.
func (c *chief) reread(ctx context.Context) {
	for ctx.Err() == nil {
		status, body := c.call(ctx, c.anyControl(c.random), readRequest)
		if status == http.StatusOK {
			generation, _, err := tableOf(body)
			if err != nil {
				c.world.history.fail("a read can't be understood: %v", err)
			}
			if c.goOnFrom(generation) {
				return
			}
		}
		c.world.wait(ctx, time.Duration(c.random.Int64N(int64(longestBackoff))))
	}
}

func (c *chief) goOnFrom(generation int64) bool {
	for _, one := range c.sent {
		if one.generation == generation {
			c.base = one
			return true
		}
	}
	c.world.history.fail("a read gives generation %d, which was never sent", generation)
	return false
}

// evacuate empties a zone, or takes that back.
func (c *chief) evacuate(ctx context.Context) {
	if c.emptied != "" {
		if c.order(ctx, c.emptied, false) {
			c.emptied = ""
		}
		return
	}
	c.emptied = zoneNames[c.random.IntN(len(zoneNames))]
	c.order(ctx, c.emptied, true)
}

// order sends an evacuation until it is acknowledged, for as long as such orders may be sent again.
func (c *chief) order(ctx context.Context, zone string, begins bool) (taken bool) {
	own := &evacuation{zone: zone, begins: begins, sentAt: c.world.history.now(), answeredAt: forever}
	c.world.history.do(func() { c.world.history.evacuations = append(c.world.history.evacuations, own) })
	path := "/api/drain/" + zone + "/begin"
	if !begins {
		path = "/api/drain/" + zone + "/finish"
	}
	ends := own.sentAt + c.world.plan.controls[0].settings.Bounds.AckBy()
	for ctx.Err() == nil && c.world.history.now() < ends {
		status, _ := c.call(ctx, c.anyControl(c.random), func(address string) (*http.Request, error) {
			return http.NewRequest(http.MethodPost, "http://"+address+path, nil)
		})
		if status == http.StatusOK {
			c.world.history.do(func() { own.answeredAt = c.world.history.now() })
			return true
		}
		if status >= 400 && status < 500 {
			c.world.history.fail("%s: %d", path, status)
		}
		c.world.wait(ctx, time.Duration(c.random.Int64N(int64(longestBackoff))))
	}
	return false
}

// settle sends a configuration, unchanged, to one machine after the other until it has a clear answer.
func (c *chief) settle(ctx context.Context, random *rand.Rand, own *order) {
	history := c.world.history
	if own.sentAt == 0 {
		history.do(func() {
			own.sentAt = history.now()
			history.orders = append(history.orders, own)
			c.sent = append(c.sent, own)
		})
		if random.IntN(100) < lostAnswers {
			c.sendAndLeave(ctx, c.anyControl(random), own)
		}
	}
	for ends := history.now() + orderLimit; ctx.Err() == nil && history.now() < ends; {
		status, body := c.call(ctx, c.anyControl(random), own.request)
		if status == http.StatusOK || status >= 400 && status < 500 {
			history.do(func() { own.answer(status, history.now()) })
			if status != http.StatusOK && status != http.StatusPreconditionFailed && !own.invalid {
				history.fail("valid generation %d on base %d: %d %s", own.generation, own.base, status, body)
			}
			return
		}
		c.world.wait(ctx, time.Duration(random.Int64N(int64(longestBackoff))))
	}
}

func (o *order) answer(status int, at moment) {
	o.status, o.answeredAt, o.result = status, at, refused
	if status == http.StatusOK {
		o.result = acknowledged
	}
}

// request is the call that carries an order.
func (o *order) request(address string) (*http.Request, error) {
	path := "/api/conf/replace"
	if o.amends {
		path = "/api/conf/amend"
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(o.body))
	if err != nil {
		return nil, err
	}
	request.Header.Set(headerBase, strconv.FormatInt(o.base, 10))
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func readRequest(address string) (*http.Request, error) {
	return http.NewRequest(http.MethodGet, "http://"+address+"/api/conf/read", nil)
}

func (c *chief) anyControl(random *rand.Rand) string {
	controls := c.world.plan.controls
	return controls[random.IntN(len(controls))].settings.Binds.Control
}

// call makes one call; the status is 0 without an answer.
func (c *chief) call(ctx context.Context, address string, form func(address string) (*http.Request, error)) (int, []byte) {
	request, err := form(address)
	if err != nil {
		c.world.history.fail("%v", err)
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	response, err := c.world.calls.Do(request.WithContext(ctx))
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, body
}

// sendAndLeave sends an order and closes the connection without having read an answer.
func (c *chief) sendAndLeave(ctx context.Context, address string, own *order) {
	request, err := own.request(address)
	if err != nil {
		return
	}
	dialer := net.Dialer{Timeout: callLimit}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(callLimit))
	if request.Write(connection) == nil {
		c.world.wait(ctx, time.Duration(c.random.Int64N(int64(longestBackoff)/4)))
	}
}

// finish takes a last change after all troubles, with routes that were not there before, and ends an evacuation.
func (c *chief) finish(ctx context.Context) {
	for c.emptied != "" && ctx.Err() == nil {
		c.evacuate(ctx)
	}
	for ctx.Err() == nil {
		last := c.drafts.marked(c.base)
		c.drafts.addTo(last.routes, firstRoutes)
		last = c.drafts.order(c.base.generation, c.base.routes, last.routes, true)
		c.change(ctx, last)
		if last.result == acknowledged {
			return
		}
	}
}

// readAlong reads the configuration at any machine until ctx ends.
func (w *world) readAlong(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	for w.wait(ctx, readPeriod) {
		w.readAt(ctx, w.plan.controls[random.IntN(len(w.plan.controls))], false)
	}
}

// readAt reads the configuration at one machine and tells whether it answered.
func (w *world) readAt(ctx context.Context, at *machine, last bool) bool {
	own := read{machine: at.name, sentAt: w.history.now(), last: last}
	status, body := w.chief.call(ctx, at.settings.Binds.Control, readRequest)
	own.status = status
	if status == http.StatusOK {
		generation, seen, err := tableOf(body)
		if err != nil {
			w.history.fail("%s: a read can't be understood: %v", at.name, err)
			return false
		}
		own.generation, own.sum = generation, seen.sum()
	}
	w.history.do(func() { w.history.reads = append(w.history.reads, own) })
	return status == http.StatusOK
}
