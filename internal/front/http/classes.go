package http

import (
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"fieldrelay/logic"
)

// class is what the front knows of a class.
type class struct {
	method   string
	needsKey bool // a request must carry Idempotency-Key
	value    float64
}

// ClassSettings is the table of the classes that fronts take. It may change while they serve: a request is read under
// the table as it was when its head came. Any goroutine may use it.
type Classes struct {
	table   atomic.Pointer[map[string]*class]
	tenants atomic.Pointer[map[string]bool] // empty: the site names no tenants
}

// NewClasses makes a table of classes and of the tenants that may call.
func NewClasses(classes []logic.Class, tenants []logic.Tenant) *Classes {
	t := &Classes{}
	t.Set(classes, tenants)
	return t
}

// Set replaces the table.
func (t *Classes) Set(classes []logic.Class, tenants []logic.Tenant) {
	callers := make(map[string]bool, len(tenants))
	for _, tenant := range tenants {
		callers[tenant.Name] = true
	}
	t.tenants.Store(&callers)
	table := make(map[string]*class, len(classes))
	for _, c := range classes {
		table[c.Name] = &class{method: fasthttp.MethodPost, needsKey: c.Effect == logic.Keyed, value: max(c.Value, minValue)}
		if c.Effect == logic.Safe {
			table[c.Name].method = fasthttp.MethodGet
		}
	}
	t.table.Store(&table)
}

// worth is what a request of the class is worth to the budget; of one dropped meanwhile, the least.
func (t *Classes) value(name string) float64 {
	if c, ok := t.get(name); ok {
		return c.value
	}
	return minValue
}

// caller tells whether X-Caller may name this tenant: one of the settings, or any of good form where they name none.
// An absent header names none and passes.
func (t *Classes) mayCall(name string) bool {
	if name == "" {
		return true
	}
	callers := *t.tenants.Load()
	return isToken(name) && (len(callers) == 0 || callers[name])
}

func (t *Classes) get(name string) (*class, bool) {
	c, ok := (*t.table.Load())[name]
	return c, ok
}
