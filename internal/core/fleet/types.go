package fleet

import (
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// Type is a machine type of the cloud. Prices are per hour.
type Type struct {
	Name      string             `json:"n"`
	Cap       jobstate.Resources `json:"v"`
	FetchRate int64              `json:"f"` // MB a second
	CacheMB   int64              `json:"l"`
	Price     float64            `json:"p"`
	SpotPrice float64            `json:"sp"`
	Boot      int64              `json:"b"`
	Zones     []string           `json:"z"`
}

// fits reports whether an empty machine of the type can run a task of a job.
func (t *Type) fits(s *jobstate.Spec) bool {
	return (len(s.Types) == 0 || slices.Contains(s.Types, t.Name)) &&
		s.Need.Fits(t.Cap) &&
		(s.Zone == "" || slices.Contains(t.Zones, s.Zone))
}

// FitsAnyType reports whether at least one of the types can run a task of a job.
func FitsAnyType(types []Type, s *jobstate.Spec) bool {
	for i := range types {
		if types[i].fits(s) {
			return true
		}
	}
	return false
}

// FitsWithoutGPUs reports whether at least one of the types without GPUs can run a task of a
// job.
func FitsWithoutGPUs(types []Type, s *jobstate.Spec) bool {
	for i := range types {
		if types[i].Cap.GPU == 0 && types[i].fits(s) {
			return true
		}
	}
	return false
}

// FitsSpread reports whether the tasks of a job can all run at once in as many zones as they
// need. With Spread, at most half of them may be in one zone.
func FitsSpread(types []Type, s *jobstate.Spec) bool {
	if !s.Spread || s.Kind == jobstate.Array || s.Tasks == 1 {
		return true // an array's tasks may run one after the other
	}
	if s.Zone != "" || s.OneZone {
		return false
	}
	zones := map[string]bool{}
	for i := range types {
		if !types[i].fits(s) {
			continue
		}
		for _, zone := range types[i].Zones {
			zones[zone] = true
		}
	}
	return len(zones) > 1
}
