// Package sharedread shares reads of the state service among the requests that wait for
// one. It does no input or output.
package sharedread

// Batch has the requests that wait for a read which is younger than they are. One
// read is under way at a time; whoever comes meanwhile waits for the next, since the
// one under way may have been carried out before the request came.
type Batch[T any] struct {
	waiting, served []T
	inFlight        bool
	// startedAt is when the last read began.
	startedAt int64
}

// Add has a request wait for the next read.
func (b *Batch[T]) Add(request T) { b.waiting = append(b.waiting, request) }

// Waiting is how many requests wait for the next read.
func (b *Batch[T]) Waiting() int { return len(b.waiting) }

// InFlight says whether a read is under way.
func (b *Batch[T]) InFlight() bool { return b.inFlight }

// Age is for how long no read has begun.
func (b *Batch[T]) Age(now int64) int64 { return now - b.startedAt }

// Due says whether a read may begin now: there is none under way, the last one began
// at least gap ago, and somebody waits.
func (b *Batch[T]) Due(now, gap int64) bool {
	return !b.inFlight && len(b.waiting) > 0 && b.Age(now) >= gap
}

// Begin begins a read for all that wait.
func (b *Batch[T]) Begin(now int64) {
	b.inFlight, b.startedAt = true, now
	b.served, b.waiting = b.waiting, nil
}

// End ends the read under way and returns the requests that waited for it.
func (b *Batch[T]) End() []T {
	requests := b.served
	b.inFlight, b.served = false, nil
	return requests
}

// DropWaiting returns the requests that wait for the next read; nobody waits any more.
func (b *Batch[T]) DropWaiting() []T {
	requests := b.waiting
	b.waiting = nil
	return requests
}

// KeyBatch has requests about keys of which many are asked about at once.
type KeyBatch[T any] struct {
	waiting   []keyedRequest[T]
	inFlight  bool
	startedAt int64
}

type keyedRequest[T any] struct {
	key     string
	request T
}

// Add has a request wait for what is stored of a key.
func (l *KeyBatch[T]) Add(key string, request T) {
	l.waiting = append(l.waiting, keyedRequest[T]{key, request})
}

// Waiting is how many requests wait.
func (l *KeyBatch[T]) Waiting() int { return len(l.waiting) }

// Due says whether a question may be asked now.
func (l *KeyBatch[T]) Due(now, gap int64) bool {
	return !l.inFlight && len(l.waiting) > 0 && (l.startedAt == 0 || now-l.startedAt >= gap)
}

// Begin begins a question about at most most keys, and returns them in the order in
// which they were asked about, with the requests about each.
func (l *KeyBatch[T]) Begin(now int64, most int) (keys []string, requests map[string][]T) {
	requests = map[string][]T{}
	var rest []keyedRequest[T]
	for _, p := range l.waiting {
		_, there := requests[p.key]
		switch {
		case there:
			requests[p.key] = append(requests[p.key], p.request)
		case len(keys) < most:
			keys = append(keys, p.key)
			requests[p.key] = []T{p.request}
		default:
			rest = append(rest, p)
		}
	}
	l.waiting, l.inFlight, l.startedAt = rest, true, now
	return keys, requests
}

// End ends the question under way.
func (l *KeyBatch[T]) End() { l.inFlight = false }
