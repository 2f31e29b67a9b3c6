package jobstate

import "slices"

// MaxTasks is the maximum number of tasks of a job.
const MaxTasks = 100_000

// Priorities of jobs, lowest first.
const (
	Idle = iota
	Normal
	Urgent
	Production
)

// Resources is an amount of resources, in thousandths of a CPU, GPU or GB.
type Resources struct {
	CPU int64 `json:"c"`
	GPU int64 `json:"g"`
	Mem int64 `json:"m"`
}

// Add returns the sum of v and o, by component.
func (v Resources) Add(o Resources) Resources {
	return Resources{v.CPU + o.CPU, v.GPU + o.GPU, v.Mem + o.Mem}
}

// Sub returns v minus o, by component.
func (v Resources) Sub(o Resources) Resources {
	return Resources{v.CPU - o.CPU, v.GPU - o.GPU, v.Mem - o.Mem}
}

// Scale returns v times n, by component.
func (v Resources) Scale(n int64) Resources { return Resources{v.CPU * n, v.GPU * n, v.Mem * n} }

// Fits reports whether no component of v exceeds that of o.
func (v Resources) Fits(o Resources) bool { return v.CPU <= o.CPU && v.GPU <= o.GPU && v.Mem <= o.Mem }

// Weight returns a scalar size that makes work on different resources comparable. A GPU weighs
// as much as 8 CPUs, and the larger of the two counts.
func (v Resources) Weight() int64 { return max(v.GPU, v.CPU/8) }

// Kind is the kind of a job, which determines how its tasks belong together.
type Kind string

// The kinds of jobs.
const (
	Array   Kind = "array"
	Gang    Kind = "gang"
	Service Kind = "service"
)

// Spec is the specification of a job as submitted by its user. Durations are in microseconds.
type Spec struct {
	ID         string    `json:"id"`
	Class      string    `json:"cl"`
	Team       string    `json:"tm"`
	Kind       Kind      `json:"k"`
	Priority   int       `json:"pr"`
	Tasks      int       `json:"n"`
	Need       Resources `json:"v"`
	Types      []string  `json:"ty,omitempty"`
	Zone       string    `json:"z,omitempty"`
	OneZone    bool      `json:"oz,omitempty"`
	Spread     bool      `json:"sp,omitempty"`
	Spot       bool      `json:"bo,omitempty"`
	Image      string    `json:"im,omitempty"`
	ImageMB    int64     `json:"mb,omitempty"`
	Estimate   int64     `json:"es,omitempty"`
	Checkpoint int64     `json:"ck,omitempty"`
	Save       int64     `json:"sv,omitempty"`
	Deadline   int64     `json:"dl,omitempty"`
	// Dependencies are the IDs of jobs that have to be done before any task starts.
	Dependencies []string `json:"aw,omitempty"`
	// Sweep is the sweep that the job is a run of, and Run its number in the sweep.
	Sweep string `json:"sw,omitempty"`
	Run   int    `json:"sn,omitempty"`
}

// FetchTime returns the time that a machine needs to fetch the job's image at rate MB per second,
// in microseconds; 0 if the rate is not positive.
func (s *Spec) FetchTime(rate int64) int64 {
	if rate <= 0 {
		return 0
	}
	return s.ImageMB * 1_000_000 / rate
}

// Allows reports whether a task may ever be placed on a machine of a type, zone, purchase
// option (spot or on-demand) and size.
func (s *Spec) Allows(typ, zone string, spot bool, size Resources) bool {
	return (len(s.Types) == 0 || slices.Contains(s.Types, typ)) &&
		(s.Zone == "" || s.Zone == zone) &&
		(s.Spot || !spot) &&
		s.Need.Fits(size)
}
