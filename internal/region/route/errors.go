package route

import (
	"fmt"
	"strings"

	"fieldrelay/internal/region/configitem"
)

// ItemError reports the faults of an item of the configuration. It wraps them.
type ItemError struct {
	Kind string // kind of the item
	Name string // name of the item
	// LeftOut: the item cannot be used, so that the table does not contain it. If false, the table contains the item
	// without the invalid members.
	LeftOut bool
	Faults  []configitem.FieldError // faults of the item, at least one
}

// Error implements error.
func (e *ItemError) Error() string {
	reasons := make([]string, len(e.Faults))
	for index, fault := range e.Faults {
		reasons[index] = fault.Error()
	}
	outcome := "partially applied"
	if e.LeftOut {
		outcome = "not applied"
	}
	return fmt.Sprintf("route: %s %q %s: %s", e.Kind, e.Name, outcome, strings.Join(reasons, "; "))
}

// Unwrap returns the faults.
func (e *ItemError) Unwrap() []error {
	errs := make([]error, len(e.Faults))
	for index, fault := range e.Faults {
		errs[index] = fault
	}
	return errs
}
