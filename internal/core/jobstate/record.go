package jobstate

import "encoding/json"

// Outcomes of a job; the empty one is unfinished.
const (
	Done      = "done"
	Cancelled = "cancelled"
)

// Record is the stored value of a job: its specification, its place in the
// order of arrival, and its outcome once it has one but is not cleaned up.
type Record struct {
	Spec    *Spec  `json:"s"`
	Arrival uint64 `json:"a,omitempty"`
	Outcome string `json:"o,omitempty"`
	// SubmittedWall is the time of day in microseconds, which lies within the
	// settings' bound; deadlines are judged by it, and nothing else.
	SubmittedWall int64 `json:"t,omitempty"`
	// Truncated: of the specification only what the rest of an ended job's life
	// needs is left, as the whole did not fit.
	Truncated bool `json:"b,omitempty"`
}

// Encode encodes the record within limit bytes, where that can be done.
func (r Record) Encode(limit int) []byte {
	b := Encode(r)
	if len(b) > limit && r.Outcome != "" {
		// A record from before the limits fell: its job is over, so nothing
		// of it is started again.
		s := r.Spec
		r.Truncated = true
		r.Spec = &Spec{ID: s.ID, Team: s.Team, Kind: s.Kind, Priority: s.Priority, Tasks: s.Tasks, Need: s.Need}
		b = Encode(r)
	}
	return b
}

// Encode makes a stored value of a plain struct, map or list.
func Encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // those always encode
	}
	return b
}

// End is the stored value of a job's end.
type End struct {
	Outcome string `json:"o"`
	Tasks   int    `json:"n"`
	// At is the time of day in microseconds; the waits of jobs that need this
	// one count from it. The first format has none.
	At int64 `json:"t,omitempty"`
}

// storedChunk is the stored value of a chunk. Done is a bitmap in hexadecimal digits, and
// Placed has two numbers for each task on a machine: its index and its attempt.
type storedChunk struct {
	Attempt   uint32              `json:"a"`
	Done      string              `json:"d,omitempty"`
	Placed    map[string][]uint32 `json:"p,omitempty"`
	TrialDone bool                `json:"t,omitempty"`
	// Seq is the number of the log's first entry that this does not have.
	Seq uint64 `json:"q,omitempty"`
}
