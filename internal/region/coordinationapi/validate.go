package coordinationapi

import (
	"errors"
	"time"
	"unicode/utf8"

	validation "github.com/go-ozzo/ozzo-validation/v4"

	"fieldrelay/api/coordination"
	engine "fieldrelay/internal/region/coordination"
)

// Upper limits of the members of calls.
const (
	maxNameBytes  = 256
	maxValueBytes = 64 << 10
	maxHoldTime   = time.Hour
)

// Names of the members of calls in bodies, paths and queries, and in faults.
const (
	fieldID       = "id"
	fieldHolder   = "holder"
	fieldHold     = "hold-ms"
	fieldFence    = "fence"
	fieldValue    = "val"
	fieldRevision = "enabled"
	fieldWait     = "wait-ms"
)

// bodyFields are the names of the members of the bodies of all calls.
var bodyFields = []string{fieldHolder, fieldHold, fieldFence, fieldValue, fieldRevision}

// Faults of members.
var (
	errInvalidText = validation.NewError("validation_utf8", "must be UTF-8")
	errNotGroup    = validation.NewError("validation_group", "must be a group: the name of a key up to its first dot, dot included")
	errNotPositive = validation.NewError("validation_positive", "must be no less than 1")
	errNegative    = validation.NewError("validation_negative", "must be no less than 0")
	errMissing     = validation.NewError("validation_absent", "is missing")
)

// isText accepts strings of valid UTF-8.
var isText = validation.By(func(value any) error {
	if text, _ := value.(string); !utf8.ValidString(text) {
		return errInvalidText
	}
	return nil
})

// isGroup accepts the names of groups.
var isGroup = validation.By(func(value any) error {
	if text, _ := value.(string); engine.GroupOf(text) != text {
		return errNotGroup
	}
	return nil
})

// isHoldTime accepts the times, in milliseconds, for which a lock may be held.
var isHoldTime = validation.By(func(value any) error {
	if hold, _ := value.(float64); hold < 1 {
		return errNotPositive
	}
	return validation.Validate(value, validation.Max(float64(maxHoldTime.Milliseconds())))
})

// isWaitTime accepts the times, in milliseconds, for which a watch may wait. It rejects NaN.
var isWaitTime = validation.By(func(value any) error {
	if wait, _ := value.(*float64); wait != nil && !(*wait >= 0) {
		return errNegative
	}
	return nil
})

func validateID(id string) error {
	return invalidFields(validation.Errors{fieldID: validateName(id)})
}

func validateWatch(group string, waitMS *float64) error {
	return invalidFields(validation.Errors{
		fieldID:   validation.Validate(group, validation.Required, validation.Length(1, maxNameBytes), isText, isGroup),
		fieldWait: validation.Validate(waitMS, isWaitTime),
	})
}

func validateHolder(holder string) error {
	return invalidFields(validation.Errors{fieldHolder: validateName(holder)})
}

func validateHolderAndHold(holder string, holdMS float64) error {
	return invalidFields(validation.Errors{
		fieldHolder: validateName(holder),
		fieldHold:   validation.Validate(holdMS, isHoldTime),
	})
}

func validateName(name string) error {
	return validation.Validate(name, validation.Required, validation.Length(1, maxNameBytes), isText)
}

func validateValue(value string) error {
	return invalidFields(validation.Errors{fieldValue: validation.Validate(value, validation.Length(0, maxValueBytes))})
}

// parameterError returns the rejection for a parameter of a path or query that cannot be parsed.
func parameterError(err error) error {
	if invalid, isInvalid := errors.AsType[*coordination.InvalidParamFormatError](err); isInvalid {
		return invalidField(invalid.ParamName, invalid.Err.Error())
	}
	return invalidField("parameters", err.Error())
}
