package room

import "strconv"

// Resource is one thing that a node has a limited amount of.
type Resource uint8

// The resources.
const (
	Slots       Resource = iota // requests at once
	Memory                      // tokens that running requests hold
	Prefill                     // prompt tokens a second
	Decode                      // generated tokens a second
	Requests                    // requests a second
	Connections                 // open connections
	ResourceCount
)

var resourceNames = [ResourceCount]string{"slots", "memory", "reading", "writing", "requests", "connections"}

func (r Resource) String() string {
	if r >= ResourceCount {
		return "resource " + strconv.Itoa(int(r))
	}
	return resourceNames[r]
}

// Amount is an amount of every resource.
type Amount [ResourceCount]float64

// Add is the sum of two amounts.
func (a Amount) Add(b Amount) Amount {
	for resource := range a {
		a[resource] += b[resource]
	}
	return a
}

// Sub takes an amount away; nothing falls below 0.
func (a Amount) Sub(b Amount) Amount {
	for resource := range a {
		a[resource] = max(a[resource]-b[resource], 0)
	}
	return a
}

// Scale scales an amount.
func (a Amount) Scale(factor float64) Amount {
	for resource := range a {
		a[resource] *= factor
	}
	return a
}
