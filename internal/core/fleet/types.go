package fleet

import (
	"slices"

	"github.com/zinclb/zinclb/internal/core/jobstate"
)

// Type is a machine type of the cloud. Prices are per hour.
type Type struct {
	Name      string             `json:"n"`
	Cap       jobstate.Resources `json:"v"`
	FetchRate int64              `json:"f"` // MB per second
	CacheMB   int64              `json:"l"`
	Price     float64            `json:"p"`
	SpotPrice float64            `json:"sp"`
	Boot      int64              `json:"b"`
	Zones     []string           `json:"z"`
}

// fits reports whether an empty machine of the type can run a task of a job.
func (t *Type) fits(spec *jobstate.Spec) bool {
	return (len(spec.Types) == 0 || slices.Contains(spec.Types, t.Name)) &&
		spec.Need.Fits(t.Cap) &&
		(spec.Zone == "" || slices.Contains(t.Zones, spec.Zone))
}

// FitsAnyType reports whether at least one of the types can run a task of a job.
func FitsAnyType(types []Type, spec *jobstate.Spec) bool {
	for i := range types {
		if types[i].fits(spec) {
			return true
		}
	}
	return false
}

// FitsWithoutGPUs reports whether at least one of the types without GPUs can run a task of a
// job.
func FitsWithoutGPUs(types []Type, spec *jobstate.Spec) bool {
	for i := range types {
		if types[i].Cap.GPU == 0 && types[i].fits(spec) {
			return true
		}
	}
	return false
}

// FitsSpread reports whether the tasks of a job can all run at once in as many zones as they
// need. If the job requires spreading, at most half of them may be in one zone.
func FitsSpread(types []Type, spec *jobstate.Spec) bool {
	if !spec.Spread || spec.Kind == jobstate.Array || spec.Tasks == 1 {
		return true // an array's tasks may run one after the other
	}
	if spec.Zone != "" || spec.OneZone {
		return false
	}
	zones := map[string]bool{}
	for i := range types {
		if !types[i].fits(spec) {
			continue
		}
		for _, zone := range types[i].Zones {
			zones[zone] = true
		}
	}
	return len(zones) > 1
}
