package configitem

import "fieldrelay/internal/jsonwalk"

// Members of a service, of its runtime and of the models of that.
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

// Service is what the body of a service tells of its servers; 0 and empty where it tells nothing.
type Service struct {
	HealthPath     string
	MaxConnections float64
	Warmup         float64  // seconds that a server stays cold after a start
	WarmRate       float64  // requests a second that a cold server bears
	Runtime        *Runtime // nil: not a model server
}

// Runtime is what a service tells of the engine of its model servers.
type Runtime struct {
	Capacity    float64
	CacheTokens float64
	Stride      float64
	Models      []string
}

// ReadService reads the body of a service, and tells which members cannot be used. A body that is no JSON object
// gives a service of which nothing is known.
func ReadService(body []byte) (Service, []Fault) {
	object, faults := Object(body)
	if faults != nil {
		return Service{}, faults
	}
	var odd decoder
	service := Service{
		HealthPath:     odd.text(fieldHealthPath, jsonwalk.Member(object, fieldHealthPath)),
		MaxConnections: odd.figure(fieldMaxConnections, jsonwalk.Member(object, fieldMaxConnections)),
		Warmup:         odd.figure(fieldWarmup, jsonwalk.Member(object, fieldWarmup)),
		WarmRate:       odd.figure(fieldWarmRate, jsonwalk.Member(object, fieldWarmRate)),
		Runtime:        odd.runtime(jsonwalk.Member(object, fieldRuntime)),
	}
	return service, odd.faults
}

func (d *decoder) runtime(value []byte) *Runtime {
	if value == nil {
		return nil
	}
	if !jsonwalk.IsObject(value) {
		d.fault(fieldRuntime, "is not an object")
		return nil
	}
	return &Runtime{
		Capacity:    d.figure(fieldCapacity, jsonwalk.Member(value, fieldCapacity)),
		CacheTokens: d.figure(fieldCacheTokens, jsonwalk.Member(value, fieldCacheTokens)),
		Stride:      d.figure(fieldStride, jsonwalk.Member(value, fieldStride)),
		Models:      d.models(jsonwalk.Member(value, fieldModels)),
	}
}

// models gives the names of the models; an element that is no object with a name is passed over.
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
