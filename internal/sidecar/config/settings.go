package config

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"fieldrelay/internal/sidecar/logic"
)

// Millis is a JSON number of milliseconds.
type Millis float64

// maxMillis bounds a duration of the settings: about 30 years, far below the overflow of time.Duration.
const maxMillis = 1e12

// Duration returns m rounded to whole microseconds, the resolution of the simulator.
func (m Millis) Duration() time.Duration {
	return time.Duration(math.Round(float64(m)*1000)) * time.Microsecond
}

// Settings is the object that an instance receives at its start: in the
// simulator's first message, or under "settings" in a sidecar's configuration.
// Unknown keys are ignored.
type Settings struct {
	Balancers          int     `json:"balancers"`
	Discovery          string  `json:"discovery"`
	Locality           string  `json:"locality"`
	Tick               Millis  `json:"tick_ms"`
	ValueBy            string  `json:"worth_by"`
	OverAllowanceValue float64 `json:"over_share_worth"`
	Classes            []Class `json:"classes"`
	Projects           []struct {
		Name      string  `json:"name"`
		Share     float64 `json:"share"`
		Allowance float64 `json:"allowance_per_s"`
	} `json:"projects"`
	Specifics struct {
		WarmKeys bool `json:"warm_keys"`
	} `json:"specifics"`
	Prices struct {
		CrossZone  float64 `json:"cross_zone"`
		Connection float64 `json:"connection"`
		Handshake  float64 `json:"handshake"`
	} `json:"prices"`
	Contract struct {
		AnswerGrace Millis  `json:"grace_to_answer_ms"`
		AskEvery    Millis  `json:"ask_every_ms"`
		ColdFrom    float64 `json:"cold_from"`
		Cold        Millis  `json:"cold_ms"`
		DrainGrace  Millis  `json:"drain_grace_ms"`
		ShedStart   bool    `json:"shed_after_start"`
		GoneAdvice  bool    `json:"gone_is_advice"`
	} `json:"contract"`
	Limits struct {
		Attempts      int    `json:"send_cap"`
		Cancel        bool   `json:"may_cancel"`
		Parallel      bool   `json:"parallel_tries"`
		RetryAfter    bool   `json:"retry_after"`
		MaxRetryAfter Millis `json:"max_retry_after_ms"`
		ConnIdle      Millis `json:"conn_idle_ms"`
		DialTimeout   Millis `json:"dial_timeout_ms"`
	} `json:"limits"`
}

// Class is a request class of the settings.
type Class struct {
	Name          string  `json:"name"`
	Effect        string  `json:"effect"`
	Group         string  `json:"group"`
	Window        Millis  `json:"window_ms"`
	LatencyTarget Millis  `json:"aim_ms"`
	TargetStretch float64 `json:"aim_stretch"`
	Deadline      Millis  `json:"deadline_ms"`
	LateValue     float64 `json:"late_worth"`
	Value         float64 `json:"worth"`
	Stream        bool    `json:"stream"`
}

var effects = map[string]logic.Effect{"free": logic.Safe, "guarded": logic.Keyed, "single_shot": logic.Unsafe}

var groups = map[string]logic.Group{
	"": logic.GroupAll, "all": logic.GroupAll, "zone": logic.GroupZone, "cell": logic.GroupCell,
}

// ParseSettings decodes the settings from JSON.
func ParseSettings(text []byte) (*Settings, error) {
	s := &Settings{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

// Logic checks the settings and converts them into the configuration of the decision module.
func (s *Settings) Logic() (logic.Config, error) {
	if err := checkDurations("settings: ", s.durations()); err != nil {
		return logic.Config{}, err
	}
	if !(s.OverAllowanceValue >= 0 && s.OverAllowanceValue <= 1) {
		return logic.Config{}, fmt.Errorf("settings: over_share_worth: %v is not within 0 to 1", s.OverAllowanceValue)
	}
	tenants, err := s.tenants()
	if err != nil {
		return logic.Config{}, err
	}
	classes, err := s.classes()
	if err != nil {
		return logic.Config{}, err
	}
	return logic.Config{
		Zone: s.Locality, Balancers: s.Balancers, Subscribe: s.Discovery == "subscribe",
		ValuePerWork: s.ValueBy == "work", KeyAffinity: s.Specifics.WarmKeys, Tick: s.Tick.Duration(),
		Prices: logic.Prices(s.Prices), OverShareValue: s.OverAllowanceValue,
		Contract: s.contract(), Limits: s.limits(), Tenants: tenants, Classes: classes,
	}, nil
}

func (s *Settings) contract() logic.Contract {
	return logic.Contract{
		AnswerGrace:          s.Contract.AnswerGrace.Duration(),
		ListInterval:         s.Contract.AskEvery.Duration(),
		SlowStartMinCapacity: s.Contract.ColdFrom,
		SlowStartWindow:      s.Contract.Cold.Duration(),
		BusyMayHaveRun:       s.Contract.ShedStart,
		GoneIsAdvisory:       s.Contract.GoneAdvice,
	}
}

func (s *Settings) limits() logic.Limits {
	return logic.Limits{
		MaxAttempts:      s.Limits.Attempts,
		Cancel:           s.Limits.Cancel,
		ParallelAttempts: s.Limits.Parallel,
		RetryAfter:       s.Limits.RetryAfter,
		MaxRetryAfter:    s.Limits.MaxRetryAfter.Duration(),
	}
}

// namedDuration is a duration of the settings and its key.
type namedDuration struct {
	key   string
	value Millis
}

// durations returns the durations outside the classes, in the order in which they are checked.
func (s *Settings) durations() []namedDuration {
	return []namedDuration{
		{"tick_ms", s.Tick},
		{"contract.grace_to_answer_ms", s.Contract.AnswerGrace},
		{"contract.ask_every_ms", s.Contract.AskEvery},
		{"contract.cold_ms", s.Contract.Cold},
		{"contract.drain_grace_ms", s.Contract.DrainGrace},
		{"limits.max_retry_after_ms", s.Limits.MaxRetryAfter},
		{"limits.conn_idle_ms", s.Limits.ConnIdle},
		{"limits.dial_timeout_ms", s.Limits.DialTimeout},
	}
}

// checkDurations returns an error for the first duration that is out of range. prefix is the path of the keys.
func checkDurations(prefix string, durations []namedDuration) error {
	for _, duration := range durations {
		if math.Abs(float64(duration.value)) > maxMillis {
			return fmt.Errorf("%s%s: %v ms is out of range", prefix, duration.key, float64(duration.value))
		}
	}
	return nil
}

// tenants checks and converts the tenants of the settings.
func (s *Settings) tenants() ([]logic.Tenant, error) {
	var tenants []logic.Tenant
	for i, p := range s.Projects {
		if p.Name == "" || !(p.Share >= 0 && p.Share <= 1) || !(p.Allowance >= 0) {
			return nil, fmt.Errorf("settings: projects[%d]: tenant %q needs a name, a share of 0 to 1 and an allowance of 0 or more",
				i, p.Name)
		}
		tenants = append(tenants, logic.Tenant{Name: p.Name, Share: p.Share, Allowance: p.Allowance})
	}
	return tenants, nil
}

// classes checks and converts the classes of the settings.
func (s *Settings) classes() ([]logic.Class, error) {
	var classes []logic.Class
	for i, c := range s.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return nil, fmt.Errorf("settings: classes[%d].effect: class %q has the unknown effect %q", i, c.Name, c.Effect)
		}
		group, ok := groups[c.Group]
		if !ok {
			return nil, fmt.Errorf("settings: classes[%d].group: class %q has the unknown group %q", i, c.Name, c.Group)
		}
		durations := []namedDuration{{"window_ms", c.Window}, {"aim_ms", c.LatencyTarget}, {"deadline_ms", c.Deadline}}
		if err := checkDurations(fmt.Sprintf("settings: classes[%d].", i), durations); err != nil {
			return nil, err
		}
		classes = append(classes, logic.Class{
			Name: c.Name, Effect: effect, Group: group, Window: c.Window.Duration(),
			LatencyTarget: c.LatencyTarget.Duration(), TargetPerWork: c.TargetStretch, Deadline: c.Deadline.Duration(),
			LateValue: c.LateValue, Value: c.Value, Stream: c.Stream,
		})
	}
	return classes, nil
}
