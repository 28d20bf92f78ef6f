package configitem

import "fieldrelay/internal/region/jsonwalk"

// Names of the members of a service, of its runtime and of the models of the runtime.
const (
	fieldHealthPath     = "health-path"
	fieldMaxConnections = "max-conns"
	fieldWarmup         = "warmup-s"
	fieldWarmRate       = "warm-rate-s"
	fieldRuntime        = "runtime"
	fieldCapacity       = "capacity"
	fieldCacheTokens    = "kv-cap"
	fieldStride         = "stride"
	fieldModels         = "models"
	fieldName           = "name"
)

// Service is the configuration of a service. A member that is missing is 0 or empty.
type Service struct {
	HealthPath     string   // path of a server's health check
	MaxConnections float64  // maximum number of connections that one server accepts from all callers together
	Warmup         float64  // duration of a server's warm-up after its start, in seconds
	WarmRate       float64  // requests a second that a server accepts while warming up
	Runtime        *Runtime // nil if the servers are not model servers
}

// Runtime is the configuration of the engine of model servers.
type Runtime struct {
	Capacity    float64  // number of requests that run concurrently
	CacheTokens float64  // number of tokens that fit into the KV cache
	Stride      float64  // maximum number of tokens in one event of a stream
	Models      []string // names of the models
}

// ParseService parses the body of a service. It also returns the faults of members that cannot be used. A body that
// is not a JSON object results in an empty Service.
func ParseService(body []byte) (Service, []FieldError) {
	object, faults := Object(body)
	if faults != nil {
		return Service{}, faults
	}
	var d decoder
	service := Service{
		HealthPath:     d.text(fieldHealthPath, jsonwalk.Member(object, fieldHealthPath)),
		MaxConnections: d.nonNegative(fieldMaxConnections, jsonwalk.Member(object, fieldMaxConnections)),
		Warmup:         d.nonNegative(fieldWarmup, jsonwalk.Member(object, fieldWarmup)),
		WarmRate:       d.nonNegative(fieldWarmRate, jsonwalk.Member(object, fieldWarmRate)),
		Runtime:        d.runtime(jsonwalk.Member(object, fieldRuntime)),
	}
	return service, d.faults
}

// runtime decodes the configuration of the engine. It returns nil if the member is missing or is not an object.
func (d *decoder) runtime(value []byte) *Runtime {
	if value == nil {
		return nil
	}
	if !jsonwalk.IsObject(value) {
		d.fault(fieldRuntime, "is not an object")
		return nil
	}
	return &Runtime{
		Capacity:    d.nonNegative(fieldCapacity, jsonwalk.Member(value, fieldCapacity)),
		CacheTokens: d.nonNegative(fieldCacheTokens, jsonwalk.Member(value, fieldCacheTokens)),
		Stride:      d.nonNegative(fieldStride, jsonwalk.Member(value, fieldStride)),
		Models:      d.models(jsonwalk.Member(value, fieldModels)),
	}
}

// models decodes the names of the models. It skips elements that are not objects with a name.
func (d *decoder) models(value []byte) []string {
	if value == nil {
		return nil
	}
	if !jsonwalk.IsArray(value) {
		d.fault(fieldModels, "is not a list")
		return nil
	}
	var names []string
	for element := range jsonwalk.Elements(value) {
		var quoted []byte
		if jsonwalk.IsObject(element) {
			quoted = jsonwalk.Member(element, fieldName)
		}
		if !jsonwalk.IsString(quoted) {
			d.fault(fieldModels, "an element has no name")
			continue
		}
		names = append(names, jsonwalk.Text(quoted))
	}
	return names
}
