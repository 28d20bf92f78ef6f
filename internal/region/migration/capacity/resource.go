package capacity

import "strconv"

// Resource is a resource of which a node has a limited amount.
type Resource uint8

// The resources, with their units.
const (
	Slots         Resource = iota // concurrent requests
	Memory                        // tokens held in memory by requests in flight
	Prefill                       // prompt tokens processed a second
	Decode                        // tokens generated a second
	Requests                      // requests a second
	Connections                   // open connections
	ResourceCount                 // number of resources
)

// resourceNames are the keys in the plan file, and are part of messages to operators.
var resourceNames = [ResourceCount]string{"slots", "memory", "reading", "writing", "requests", "connections"}

// String returns the key of the resource in the plan file.
func (r Resource) String() string {
	if r >= ResourceCount {
		return "resource " + strconv.Itoa(int(r))
	}
	return resourceNames[r]
}

// Amount is a vector with the amount of each resource, indexed by Resource.
type Amount [ResourceCount]float64

// Add returns the sum of two amounts.
func (a Amount) Add(b Amount) Amount {
	for resource := range a {
		a[resource] += b[resource]
	}
	return a
}

// Sub returns the difference of two amounts, with negative results replaced by 0.
func (a Amount) Sub(b Amount) Amount {
	for resource := range a {
		a[resource] = max(a[resource]-b[resource], 0)
	}
	return a
}

// Scale returns the amount multiplied by a factor.
func (a Amount) Scale(factor float64) Amount {
	for resource := range a {
		a[resource] *= factor
	}
	return a
}
