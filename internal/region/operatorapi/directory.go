package operatorapi

import (
	"encoding/json"
	"net/http"
	"time"

	"fieldrelay/api/operator"
)

// LookupEndpoints responds with the edge addresses that a client should use.
func (s *Server) LookupEndpoints(w http.ResponseWriter, _ *http.Request, params operator.LookupEndpointsParams) {
	endpoints := s.options.Endpoints(valueOf(params.Name), valueOf(params.Geo), valueOf(params.Az))
	if len(endpoints) == 0 {
		s.reject(w, &NoEndpointsError{})
		return
	}
	s.options.Counters.Lookups.Add(1)
	seconds := max(1, int(s.options.EndpointsLifetime()/time.Second))
	body, err := json.Marshal(operator.Endpoints{Endpoints: endpoints, TTLS: seconds})
	if err != nil {
		s.reject(w, &NoEndpointsError{})
		return
	}
	writeJSON(w, http.StatusOK, body)
}

// valueOf returns the value of an optional parameter, "" if it is missing.
func valueOf(parameter *string) string {
	if parameter == nil {
		return ""
	}
	return *parameter
}
