package planfile

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
	validation "github.com/go-ozzo/ozzo-validation/v4"

	"fieldrelay/internal/region/migration/capacity"
)

// Validation rules for the values of a file.
var (
	required         = []validation.Rule{validation.Required}
	nodeKind         = []validation.Rule{validation.Required, validation.In(string(capacity.Server), string(capacity.Edge), string(capacity.Core))}
	servingKind      = []validation.Rule{validation.Required, validation.In(string(capacity.Server), string(capacity.Edge))}
	timeOfDay        = []validation.Rule{validation.Required, validation.By(isTimeOfDay)}
	optionalDuration = []validation.Rule{validation.By(isDuration)}
	nonNegative      = []validation.Rule{validation.By(isFinite), validation.Min(0.0)}
	fraction         = []validation.Rule{validation.By(isFinite), validation.Min(0.0), validation.Max(1.0)}
	failures         = []validation.Rule{validation.Min(0), validation.Max(maxFailures)}
	nonNegativeCount = []validation.Rule{validation.Min(0)}
	nonEmptyNames    = []validation.Rule{validation.Required, validation.Each(validation.Required)}
	stageTime        = []validation.Rule{validation.Required, validation.By(isStageTime)}
)

func isFinite(value any) error {
	number := value.(float64)
	if math.IsNaN(number) || math.IsInf(number, 0) {
		return errors.New("must be a finite number")
	}
	return nil
}

func isDuration(value any) error {
	if value.(string) == "" {
		return nil
	}
	if parsed, err := time.ParseDuration(value.(string)); err != nil || parsed < 0 {
		return errors.New("must be a duration such as 1m30s")
	}
	return nil
}

func isTimeOfDay(value any) error {
	if at, err := parseTimeOfDay(value.(string)); err != nil || at > day {
		return errors.New("must be a time of day such as 21:30")
	}
	return nil
}

func isStageTime(value any) error {
	if _, err := parseTimeOfDay(value.(string)); err != nil {
		return errors.New("must be a time such as 21:30:00")
	}
	return nil
}
