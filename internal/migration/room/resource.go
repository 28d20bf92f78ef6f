package room

import "strconv"

// Resource is one thing that a node has a limited amount of.
type Resource uint8

// The resources.
const (
	Slots       Resource = iota // requests at once
	Memory                      // tokens that running requests hold
	Reading                     // prompt tokens a second
	Writing                     // generated tokens a second
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

// Plus is the sum of two amounts.
func (a Amount) Plus(b Amount) Amount {
	for resource := range a {
		a[resource] += b[resource]
	}
	return a
}

// Minus takes an amount away; nothing falls below 0.
func (a Amount) Minus(b Amount) Amount {
	for resource := range a {
		a[resource] = max(a[resource]-b[resource], 0)
	}
	return a
}

// Times scales an amount.
func (a Amount) Times(factor float64) Amount {
	for resource := range a {
		a[resource] *= factor
	}
	return a
}
