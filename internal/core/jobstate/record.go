package jobstate

import "encoding/json"

// Outcomes of a job. An unfinished job has the empty outcome.
const (
	Done      = "done"
	Cancelled = "cancelled"
)

// Record is the stored value of a job: its specification, its position in the order of
// arrival, and its outcome while the job has ended but its keys are not yet removed.
type Record struct {
	Spec    *Spec  `json:"s"`
	Arrival uint64 `json:"a,omitempty"`
	Outcome string `json:"o,omitempty"`
	// SubmittedWall is the time of day of the submission in microseconds, accurate to
	// clock_error_ms in the settings. Deadlines and waiting times are measured from it.
	SubmittedWall int64 `json:"t,omitempty"`
	// Truncated reports whether the specification of an ended job has only the fields that
	// are still needed, because the complete one did not fit into the record.
	Truncated bool `json:"b,omitempty"`
}

// Encode encodes the record, truncating the specification of an ended job if the result would
// be longer than limit bytes. It cannot shorten the record of an unfinished job.
func (r Record) Encode(limit int) []byte {
	b := Encode(r)
	if len(b) > limit && r.Outcome != "" {
		// The record was written before the limits were lowered. The job has ended, so
		// none of its tasks is started again.
		s := r.Spec
		r.Truncated = true
		r.Spec = &Spec{ID: s.ID, Team: s.Team, Kind: s.Kind, Priority: s.Priority, Tasks: s.Tasks, Need: s.Need}
		b = Encode(r)
	}
	return b
}

// Encode encodes a plain struct, map or slice as a stored value.
func Encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // such values can always be encoded
	}
	return b
}

// End is the stored value of a job's end.
type End struct {
	Outcome string `json:"o"`
	Tasks   int    `json:"n"`
	// At is the time of day of the end in microseconds, from which the waiting times of
	// dependent jobs are measured. It is absent in the first format.
	At int64 `json:"t,omitempty"`
}

// storedChunk is the stored value of a chunk. Done is a bitmap in hexadecimal digits. Placed
// has two numbers for each task on a machine: its index and its attempt.
type storedChunk struct {
	Attempt   uint32              `json:"a"`
	Done      string              `json:"d,omitempty"`
	Placed    map[string][]uint32 `json:"p,omitempty"`
	TrialDone bool                `json:"t,omitempty"`
	// Seq is the sequence number of the first log entry that this value does not include.
	Seq uint64 `json:"q,omitempty"`
}
