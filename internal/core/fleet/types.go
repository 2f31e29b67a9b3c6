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

// fits says whether a machine of the type can take a task of a job.
func (t *Type) fits(s *jobstate.Spec) bool {
	return (len(s.Types) == 0 || slices.Contains(s.Types, t.Name)) &&
		s.Need.Fits(t.Cap) &&
		(s.Zone == "" || slices.Contains(t.Zones, s.Zone))
}

// FitsAnyType says whether some machine of the types that a job allows can take a task.
func FitsAnyType(types []Type, s *jobstate.Spec) bool {
	for i := range types {
		if types[i].fits(s) {
			return true
		}
	}
	return false
}

// FitsWithoutGPUs says the same of the types without GPUs.
func FitsWithoutGPUs(types []Type, s *jobstate.Spec) bool {
	for i := range types {
		if types[i].Cap.GPU == 0 && types[i].fits(s) {
			return true
		}
	}
	return false
}

// FitsSpread says whether the tasks of a job, all at once, can be in as many zones as they
// have to be: spread over zones, at most half of them is in one.
func FitsSpread(types []Type, s *jobstate.Spec) bool {
	if !s.Spread || s.Kind == jobstate.Array || s.Tasks == 1 {
		return true // an array's tasks may go one after the other
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
