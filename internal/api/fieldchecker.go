package api

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// roundingError is the largest excess over a whole number, in the core's units, that
// fieldChecker.amount ignores as a floating-point error. Larger excesses are rounded up.
const roundingError = 1e-6

var errMissing = errors.New("missing")

// fieldChecker converts the fields of a submission. err is the error of the first invalid
// field; the value returned for an invalid field must not be used.
type fieldChecker struct{ err error }

// fail records the error of a field, unless an earlier field already failed.
func (c *fieldChecker) fail(field string, err error) {
	if c.err == nil {
		c.err = fmt.Errorf("%s: %w", field, err)
	}
}

// name returns a required, non-empty name.
func (c *fieldChecker) name(field string, value *string) string {
	if value == nil || *value == "" {
		c.fail(field, errMissing)
		return ""
	}
	return c.optionalName(field, value)
}

// optionalName returns a name, or "" if it is missing.
func (c *fieldChecker) optionalName(field string, value *string) string {
	if value == nil {
		return ""
	}
	if len(*value) > maxNameLength {
		c.fail(field, errors.New("too long"))
	}
	return *value
}

// amount converts an amount from the wire's unit to the core's unit and rounds it up. scale
// is the number of core units per wire unit. A value outside 0 to limit is an error.
func (c *fieldChecker) amount(field string, value *float64, scale, limit float64) int64 {
	switch {
	case value == nil:
		c.fail(field, errMissing)
		return 0
	case math.IsNaN(*value) || *value < 0 || *value > limit:
		c.fail(field, errors.New("out of range"))
		return 0
	}
	return int64(math.Ceil(*value*scale - roundingError))
}

// seconds converts a required duration in seconds to microseconds.
func (c *fieldChecker) seconds(field string, value *float64) int64 {
	return c.amount(field, value, microsPerSecond, maxSeconds)
}

// optionalSeconds converts an optional duration in seconds to microseconds. It returns 0 for
// a missing one.
func (c *fieldChecker) optionalSeconds(field string, value *float64) int64 {
	if value == nil {
		return 0
	}
	return c.seconds(field, value)
}

func (c *fieldChecker) kind(field string, value *string) jobstate.Kind {
	if value != nil {
		switch *value {
		case "sweep":
			return jobstate.Array
		case "gang":
			return jobstate.Gang
		case "standing":
			return jobstate.Service
		}
	}
	c.fail(field, errors.New("missing or unknown"))
	return ""
}

func (c *fieldChecker) priority(field string, value *string) int {
	if value == nil {
		c.fail(field, errMissing)
		return 0
	}
	switch *value {
	case "idle":
		return jobstate.Idle
	case "normal":
		return jobstate.Normal
	case "urgent":
		return jobstate.Urgent
	case "production":
		return jobstate.Production
	}
	c.fail(field, errors.New("unknown"))
	return 0
}

// tasks returns the number of tasks of the job.
func (c *fieldChecker) tasks(field string, value *float64) int {
	if value == nil || *value != math.Trunc(*value) || *value < 1 || *value > jobstate.MaxTasks {
		c.fail(field, fmt.Errorf("must be a whole number from 1 to %d", jobstate.MaxTasks))
		return 0
	}
	return int(*value)
}

// types returns the machine types that the job may use, or nil for all types.
func (c *fieldChecker) types(field string, value *[]string) []string {
	if value == nil {
		return nil
	}
	for _, name := range *value {
		if name == "" || len(name) > maxNameLength {
			c.fail(field, errors.New("invalid name"))
		}
	}
	if len(*value) == 0 {
		c.fail(field, errors.New("empty"))
	}
	return *value
}

// dependencies returns the ids of the jobs that the job depends on, without duplicates.
func (c *fieldChecker) dependencies(field string, ids []string) []string {
	if len(ids) > maxDependencies {
		c.fail(field, fmt.Errorf("more than %d", maxDependencies))
		return nil
	}
	var dependencies []string
	for _, id := range ids {
		if !ValidID(id) {
			c.fail(field, errors.New("invalid id"))
		}
		if !slices.Contains(dependencies, id) {
			dependencies = append(dependencies, id)
		}
	}
	return dependencies
}

func (c *fieldChecker) flag(field string, value *bool) bool {
	if value == nil {
		c.fail(field, errMissing)
		return false
	}
	return *value
}
