package main

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the state service that PROTOCOL sets.
const (
	retainedChanges = 10_000
	maxPageRows     = 1000
	maxPageBytes    = 512 << 10
	maxTxnBytes     = 64 << 10
)

// stored is a value of the state service.
type stored struct {
	data   json.RawMessage
	stamp  uint64
	tenure uint64
}

// news is one change of the state service as a watch reports it.
type news struct {
	Put    string          `json:"put,omitempty"`
	Remove string          `json:"remove,omitempty"`
	Data   json.RawMessage `json:"data,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

// key returns the key that the change is about.
func (n news) key() string { return n.Put + n.Remove }

// stateService is a stand-in for the state service of PROTOCOL, with its limits and its
// rates. Each controller has a listener of its own, so that a controller can be refused.
type stateService struct {
	mu      sync.Mutex
	keys    map[string]stored
	changes []news
	ledger  uint64
	// compacted is the newest change that is no longer retained.
	compacted uint64
	leases    map[uint64]*tenure
	lastLease uint64
	changed   chan struct{}
	calls     bucket
	writes    bucket
	limits    stateLimits
	// slow makes answers take slowFactor times as long.
	slow bool
	// newestFirst puts the newest news of a watch first, as in the example of PROTOCOL.
	newestFirst bool
	// refused has the controllers that get 503.
	refused map[string]bool
	// onPut, if set, is called with each key that is put.
	onPut func(key string, data []byte)
}

// tenure is a lease.
type tenure struct {
	life    time.Duration
	endsAt  time.Time
	expired bool
}

// stateLimits are the limits of the state service in the settings.
type stateLimits struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

// bucket limits a rate with a burst of one second's worth.
type bucket struct {
	level float64
	at    time.Time
}

// take reports whether n tokens are left, and takes them.
func (b *bucket) take(n, rate float64) bool {
	now := time.Now()
	if b.at.IsZero() {
		b.level = rate
	} else {
		b.level = min(rate, b.level+now.Sub(b.at).Seconds()*rate)
	}
	b.at = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

func newStateService(limits stateLimits) *stateService {
	return &stateService{
		keys:    map[string]stored{},
		leases:  map[uint64]*tenure{},
		changed: make(chan struct{}),
		limits:  limits,
		refused: map[string]bool{},
	}
}

// normalLatency is the mean time of an answer without a trouble.
const normalLatency = 4 * time.Millisecond

// slowFactor is how many times as long an answer takes while the service is slow.
const slowFactor = 20

// nextLatency returns the time that the next answer takes, under 10 ms if it is not slow.
func (s *stateService) nextLatency() time.Duration {
	latency := time.Duration(float64(normalLatency) * (0.5 + rand.Float64()))
	if s.slow {
		latency *= slowFactor
	}
	return latency
}

// setSlow makes the service slow, or ends that.
func (s *stateService) setSlow(slow bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = slow
}

// handler returns the HTTP handler for the requests of one controller.
func (s *stateService) handler(controller string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/kv", s.list)
	mux.HandleFunc("/kv/", s.get)
	mux.HandleFunc("/multi", s.multi)
	mux.HandleFunc("/leases", s.grant)
	mux.HandleFunc("/leases/", s.lease)
	mux.HandleFunc("/watch", func(w http.ResponseWriter, r *http.Request) { s.watch(w, r, controller) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		latency, refused := s.nextLatency(), s.refused[controller]
		within := s.calls.take(1, s.limits.RPS)
		s.mu.Unlock()
		time.Sleep(latency)
		switch {
		case refused:
			answer(w, http.StatusServiceUnavailable, object{"error": "unavailable"})
		case !within:
			answer(w, http.StatusTooManyRequests, object{"error": "rate"})
		default:
			mux.ServeHTTP(w, r)
		}
	})
}

func (s *stateService) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	key := strings.TrimPrefix(r.URL.Path, "/kv/")
	value, ok := s.keys[key]
	if !ok {
		answer(w, http.StatusNotFound, object{"ledger": s.ledger})
		return
	}
	answer(w, http.StatusOK, object{"path": key, "data": value.data, "stamp": value.stamp, "tenure": value.tenure})
}

func (s *stateService) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	query := r.URL.Query()
	most, err := strconv.Atoi(query.Get("most"))
	if err != nil || most <= 0 || most > maxPageRows {
		most = maxPageRows
	}
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, query.Get("starts")) && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	rows, size, truncated := []object{}, 0, false
	for _, key := range keys {
		value := s.keys[key]
		size += len(key) + len(value.data) + 40
		if len(rows) == most || size > maxPageBytes {
			truncated = true
			break
		}
		rows = append(rows, object{"path": key, "data": value.data, "stamp": value.stamp})
	}
	answer(w, http.StatusOK, object{"rows": rows, "truncated": truncated, "ledger": s.ledger})
}

// transaction is the body of POST /multi.
type transaction struct {
	When []struct {
		Path  string `json:"path"`
		Stamp uint64 `json:"stamp"`
	} `json:"when"`
	Writes []struct {
		Put    string          `json:"put"`
		Data   json.RawMessage `json:"data"`
		Tenure uint64          `json:"tenure"`
		Remove string          `json:"remove"`
	} `json:"writes"`
}

func (s *stateService) multi(w http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	var t transaction
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if json.Unmarshal(body, &t) != nil || !s.withinLimits(&t, len(body)) {
		answer(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	if len(t.Writes) > 0 && !s.writes.take(float64(len(t.Writes)), s.limits.WriteRPS) {
		answer(w, http.StatusTooManyRequests, object{"error": "rate"})
		return
	}
	for _, write := range t.Writes {
		if lease := s.leases[write.Tenure]; write.Tenure != 0 && (lease == nil || lease.expired) {
			answer(w, http.StatusBadRequest, object{"error": "no such lease"})
			return
		}
	}
	var failed []string
	for _, condition := range t.When {
		if s.keys[condition.Path].stamp != condition.Stamp {
			failed = append(failed, condition.Path)
		}
	}
	if len(failed) > 0 {
		answer(w, http.StatusConflict, object{"failed": failed, "ledger": s.ledger})
		return
	}
	s.apply(&t)
	answer(w, http.StatusOK, object{"ledger": s.ledger})
}

func (s *stateService) withinLimits(t *transaction, size int) bool {
	if size > maxTxnBytes || len(t.Writes) > s.limits.TxnOps || len(t.When) > 4*s.limits.TxnOps {
		return false
	}
	for _, write := range t.Writes {
		if float64(len(write.Data)) > s.limits.ValueKB*1024 || len(write.Put+write.Remove) > 200 {
			return false
		}
	}
	return true
}

// apply executes the writes of a transaction. Every change has the same stamp.
func (s *stateService) apply(t *transaction) {
	if len(t.Writes) == 0 {
		return
	}
	s.ledger++
	for _, write := range t.Writes {
		if write.Put != "" {
			s.keys[write.Put] = stored{write.Data, s.ledger, write.Tenure}
			s.record(news{Put: write.Put, Data: write.Data, Stamp: s.ledger})
			if s.onPut != nil {
				s.onPut(write.Put, write.Data)
			}
			continue
		}
		if _, ok := s.keys[write.Remove]; ok {
			delete(s.keys, write.Remove)
			s.record(news{Remove: write.Remove, Stamp: s.ledger})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stateService) record(change news) {
	s.changes = append(s.changes, change)
	if surplus := len(s.changes) - retainedChanges; surplus > 0 {
		s.compacted = s.changes[surplus-1].Stamp
		s.changes = s.changes[surplus:]
	}
}

// expire ends the leases that were not renewed in time.
func (s *stateService) expire() {
	now := time.Now()
	for id, lease := range s.leases {
		if !lease.expired && now.After(lease.endsAt) {
			s.end(id)
		}
	}
}

// end ends a lease and removes its keys.
func (s *stateService) end(id uint64) {
	s.leases[id].expired = true
	var t transaction
	for key, value := range s.keys {
		if value.tenure == id {
			t.Writes = append(t.Writes, struct {
				Put    string          `json:"put"`
				Data   json.RawMessage `json:"data"`
				Tenure uint64          `json:"tenure"`
				Remove string          `json:"remove"`
			}{Remove: key})
		}
	}
	s.apply(&t)
}

func (s *stateService) grant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Life int64 `json:"life_ms"`
	}
	if json.Unmarshal(readBody(r), &request) != nil || request.Life < 100 || request.Life > 600_000 {
		answer(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	life := time.Duration(request.Life) * time.Millisecond
	s.leases[s.lastLease] = &tenure{life: life, endsAt: time.Now().Add(life)}
	answer(w, http.StatusOK, object{"tenure": s.lastLease})
}

func (s *stateService) lease(w http.ResponseWriter, r *http.Request) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/leases/"), "/")
	id, _ := strconv.ParseUint(name, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	lease := s.leases[id]
	if lease == nil || lease.expired {
		answer(w, http.StatusNotFound, object{"error": "no such lease"})
		return
	}
	if r.Method == http.MethodDelete {
		s.end(id)
	} else {
		lease.endsAt = time.Now().Add(lease.life)
	}
	answer(w, http.StatusOK, object{"tenure": id})
}

func (s *stateService) watch(w http.ResponseWriter, r *http.Request, controller string) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	if err != nil {
		answer(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	deadline := time.Now().Add(time.Duration(min(waitMS, 60_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		changed, ledger, refused := s.changed, s.ledger, s.refused[controller]
		old := after < s.compacted
		list := s.newsAfter(query.Get("starts"), after)
		s.mu.Unlock()
		left := time.Until(deadline)
		switch {
		case refused: // an open watch waits, as in an outage
			left = max(left, 100*time.Millisecond)
		case old:
			answer(w, http.StatusGone, object{"error": "too old"})
			return
		case len(list) > 0 || left <= 0:
			answer(w, http.StatusOK, object{"ledger": ledger, "news": list})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(min(left, 100*time.Millisecond)):
		}
	}
}

// newsAfter returns all changes of keys with a prefix after a stamp.
func (s *stateService) newsAfter(prefix string, after uint64) []news {
	list := []news{}
	first, _ := slices.BinarySearchFunc(s.changes, after+1, func(n news, stamp uint64) int {
		return int(int64(n.Stamp) - int64(stamp))
	})
	for _, change := range s.changes[first:] {
		if strings.HasPrefix(change.key(), prefix) {
			list = append(list, change)
		}
	}
	if s.newestFirst {
		slices.SortStableFunc(list, func(a, b news) int { return cmp.Compare(b.Stamp, a.Stamp) })
	}
	return list
}
