package jobstate

import "slices"

// MaxTasks is the largest job.
const MaxTasks = 100_000

// Priorities of jobs.
const (
	Idle = iota
	Normal
	Urgent
	Production
)

// Resources is an amount of a machine, in thousandths of a CPU, GPU or GB.
type Resources struct {
	CPU int64 `json:"c"`
	GPU int64 `json:"g"`
	Mem int64 `json:"m"`
}

// Add is by component, as Sub and Scale are.
func (v Resources) Add(o Resources) Resources {
	return Resources{v.CPU + o.CPU, v.GPU + o.GPU, v.Mem + o.Mem}
}

// Sub is v less o.
func (v Resources) Sub(o Resources) Resources {
	return Resources{v.CPU - o.CPU, v.GPU - o.GPU, v.Mem - o.Mem}
}

// Scale is v n times.
func (v Resources) Scale(n int64) Resources { return Resources{v.CPU * n, v.GPU * n, v.Mem * n} }

// Fits says whether v is within o.
func (v Resources) Fits(o Resources) bool { return v.CPU <= o.CPU && v.GPU <= o.GPU && v.Mem <= o.Mem }

// Weight makes work on amounts of different kinds comparable: by GPUs, where
// there are any.
func (v Resources) Weight() int64 { return max(v.GPU, v.CPU/8) }

// Kind says how a job's tasks belong together.
type Kind string

// The kinds of jobs.
const (
	Array   Kind = "array"
	Gang    Kind = "gang"
	Service Kind = "service"
)

// Spec is a job as its user described it. Durations are microseconds.
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
	// Dependencies are the jobs that have to be done before any task starts.
	Dependencies []string `json:"aw,omitempty"`
	// Sweep is the sweep that the job is a run of, and Run its number there.
	Sweep string `json:"sw,omitempty"`
	Run   int    `json:"sn,omitempty"`
}

// FetchTime is how long a machine that lacks the job's image takes to get it,
// at so many MB a second.
func (s *Spec) FetchTime(rate int64) int64 {
	if rate <= 0 {
		return 0
	}
	return s.ImageMB * 1_000_000 / rate
}

// Allows says whether a task may ever be on a machine of a type, zone, kind
// and size.
func (s *Spec) Allows(typ, zone string, spot bool, size Resources) bool {
	return (len(s.Types) == 0 || slices.Contains(s.Types, typ)) &&
		(s.Zone == "" || s.Zone == zone) &&
		(s.Spot || !spot) &&
		s.Need.Fits(size)
}
