// Package sharedread batches requests that wait for a read of the state service, so that one
// read serves many. It does no I/O.
package sharedread

// Batch holds the requests that wait for a read that begins after they arrived. At most one
// read is in flight. Requests that arrive during a read wait for the next one, since the state
// service may have executed the read in flight before they arrived.
type Batch[T any] struct {
	waiting, served []T
	inFlight        bool
	// startedAt is the time at which the last read began.
	startedAt int64
}

// Add adds a request that waits for the next read.
func (b *Batch[T]) Add(request T) { b.waiting = append(b.waiting, request) }

// Waiting returns the number of requests that wait for the next read.
func (b *Batch[T]) Waiting() int { return len(b.waiting) }

// InFlight reports whether a read is in flight.
func (b *Batch[T]) InFlight() bool { return b.inFlight }

// Age returns the time since the last read began.
func (b *Batch[T]) Age(now int64) int64 { return now - b.startedAt }

// Due reports whether a read should begin now: none is in flight, the last one began at least
// gap ago, and a request waits.
func (b *Batch[T]) Due(now, gap int64) bool {
	return !b.inFlight && len(b.waiting) > 0 && b.Age(now) >= gap
}

// Begin records the start of a read for all requests that wait.
func (b *Batch[T]) Begin(now int64) {
	b.inFlight, b.startedAt = true, now
	b.served, b.waiting = b.waiting, nil
}

// End records the end of the read in flight and returns the requests that waited for it.
func (b *Batch[T]) End() []T {
	requests := b.served
	b.inFlight, b.served = false, nil
	return requests
}

// DropWaiting removes and returns the requests that wait for the next read.
func (b *Batch[T]) DropWaiting() []T {
	requests := b.waiting
	b.waiting = nil
	return requests
}

// KeyBatch holds requests that each wait for the stored value of a key. One lookup serves the
// requests for many keys.
type KeyBatch[T any] struct {
	waiting   []keyedRequest[T]
	inFlight  bool
	startedAt int64
}

type keyedRequest[T any] struct {
	key     string
	request T
}

// Add adds a request that waits for the stored value of a key.
func (b *KeyBatch[T]) Add(key string, request T) {
	b.waiting = append(b.waiting, keyedRequest[T]{key, request})
}

// Waiting returns the number of requests that wait for a later lookup.
func (b *KeyBatch[T]) Waiting() int { return len(b.waiting) }

// Due reports whether a lookup should begin now: none is in flight, the last one began at least
// gap ago, and a request waits.
func (b *KeyBatch[T]) Due(now, gap int64) bool {
	return !b.inFlight && len(b.waiting) > 0 && (b.startedAt == 0 || now-b.startedAt >= gap)
}

// Begin records the start of a lookup of at most maxKeys keys, and returns the keys in the order
// in which they were first requested, with the requests for each.
func (b *KeyBatch[T]) Begin(now int64, maxKeys int) (keys []string, requests map[string][]T) {
	requests = map[string][]T{}
	var rest []keyedRequest[T]
	for _, waiting := range b.waiting {
		_, known := requests[waiting.key]
		switch {
		case known:
			requests[waiting.key] = append(requests[waiting.key], waiting.request)
		case len(keys) < maxKeys:
			keys = append(keys, waiting.key)
			requests[waiting.key] = []T{waiting.request}
		default:
			rest = append(rest, waiting)
		}
	}
	b.waiting, b.inFlight, b.startedAt = rest, true, now
	return keys, requests
}

// End records the end of the lookup in flight.
func (b *KeyBatch[T]) End() { b.inFlight = false }
