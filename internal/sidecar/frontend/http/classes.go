package http

import (
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"fieldrelay/internal/sidecar/logic"
)

// minValue is the minimum value of a class, and the value of a class without one in the settings.
const minValue = 0.01

// class holds the properties of a class that a server needs.
type class struct {
	method   string
	needsKey bool // a request must carry Idempotency-Key
	value    float64
}

// Classes is the table of the classes and tenants that servers accept. It may change while servers run: a request is
// parsed with the table at the time of its arrival. It is safe for concurrent use.
type Classes struct {
	table   atomic.Pointer[map[string]*class]
	tenants atomic.Pointer[map[string]bool] // names of the tenants; empty: the settings name none
}

// NewClasses returns a table of classes and of the tenants that may call.
func NewClasses(classes []logic.Class, tenants []logic.Tenant) *Classes {
	t := &Classes{}
	t.Set(classes, tenants)
	return t
}

// Set replaces the table.
func (t *Classes) Set(classes []logic.Class, tenants []logic.Tenant) {
	names := make(map[string]bool, len(tenants))
	for _, tenant := range tenants {
		names[tenant.Name] = true
	}
	t.tenants.Store(&names)
	table := make(map[string]*class, len(classes))
	for _, c := range classes {
		method := fasthttp.MethodPost
		if c.Effect == logic.Safe {
			method = fasthttp.MethodGet
		}
		table[c.Name] = &class{method: method, needsKey: c.Effect == logic.Keyed, value: max(c.Value, minValue)}
	}
	t.table.Store(&table)
}

// value returns the value of a request of the class for the byte budget. It is minValue for a class removed meanwhile.
func (t *Classes) value(name string) float64 {
	if c, ok := t.get(name); ok {
		return c.value
	}
	return minValue
}

// mayCall reports whether X-Caller may name this tenant: a tenant of the settings or, if the settings name none, any
// well-formed name. An absent header is accepted.
func (t *Classes) mayCall(name string) bool {
	if name == "" {
		return true
	}
	tenants := *t.tenants.Load()
	return isToken(name) && (len(tenants) == 0 || tenants[name])
}

func (t *Classes) get(name string) (*class, bool) {
	c, ok := (*t.table.Load())[name]
	return c, ok
}
