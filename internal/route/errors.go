package route

import "fmt"

// Fault tells what makes an item of the configuration unusable. It is an error, which an ItemError wraps.
type Fault uint8

// The faults of items.
const (
	FaultUnreadable Fault = iota // its body cannot be read
	FaultNoService               // a route that leads to no service
	FaultNoPrefix                // a route without a path prefix
	FaultKind                    // a route of an unknown kind
	FaultNegative                // a time, count or share below 0
)

// Error implements error.
func (f Fault) Error() string {
	return [...]string{
		"it cannot be read",
		"it leads to no service",
		"it has no path prefix",
		"it is of an unknown kind of route",
		"it holds a negative figure",
	}[f]
}

// unreadable wraps what a JSON reader found.
func unreadable(err error) error { return fmt.Errorf("%w: %w", FaultUnreadable, err) }

// ItemError tells that an item of the configuration could not be used; it is left out of the table.
type ItemError struct {
	Kind string // of the item
	Name string
	Err  error // wraps a Fault
}

// Error implements error.
func (e *ItemError) Error() string {
	return fmt.Sprintf("route: %s %q left out: %v", e.Kind, e.Name, e.Err)
}

// Unwrap gives the cause.
func (e *ItemError) Unwrap() error { return e.Err }
