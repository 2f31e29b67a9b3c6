// Package reads shares reads of the state service among the requests that wait for
// one. It does no input or output.
package reads

// Batch has the requests that wait for a read which is younger than they are. One
// read is under way at a time; whoever comes meanwhile waits for the next, since the
// one under way may have been carried out before the request came.
type Batch[T any] struct {
	waiting, reading []T
	busy             bool
	// begun is when the last read began.
	begun int64
}

// Add has a request wait for the next read.
func (b *Batch[T]) Add(request T) { b.waiting = append(b.waiting, request) }

// Waiting is how many requests wait for the next read.
func (b *Batch[T]) Waiting() int { return len(b.waiting) }

// Busy says whether a read is under way.
func (b *Batch[T]) Busy() bool { return b.busy }

// Age is for how long no read has begun.
func (b *Batch[T]) Age(now int64) int64 { return now - b.begun }

// Due says whether a read may begin now: there is none under way, the last one began
// at least gap ago, and somebody waits.
func (b *Batch[T]) Due(now, gap int64) bool {
	return !b.busy && len(b.waiting) > 0 && b.Age(now) >= gap
}

// Begin begins a read for all that wait.
func (b *Batch[T]) Begin(now int64) {
	b.busy, b.begun = true, now
	b.reading, b.waiting = b.waiting, nil
}

// End ends the read under way and returns the requests that waited for it.
func (b *Batch[T]) End() []T {
	requests := b.reading
	b.busy, b.reading = false, nil
	return requests
}

// Drop returns the requests that wait for the next read; nobody waits any more.
func (b *Batch[T]) Drop() []T {
	requests := b.waiting
	b.waiting = nil
	return requests
}

// Lookup has requests about keys of which many are asked about at once.
type Lookup[T any] struct {
	waiting []pair[T]
	busy    bool
	begun   int64
}

type pair[T any] struct {
	key     string
	request T
}

// Add has a request wait for what is stored of a key.
func (l *Lookup[T]) Add(key string, request T) {
	l.waiting = append(l.waiting, pair[T]{key, request})
}

// Waiting is how many requests wait.
func (l *Lookup[T]) Waiting() int { return len(l.waiting) }

// Due says whether a question may be asked now.
func (l *Lookup[T]) Due(now, gap int64) bool {
	return !l.busy && len(l.waiting) > 0 && (l.begun == 0 || now-l.begun >= gap)
}

// Begin begins a question about at most most keys, and returns them in the order in
// which they were asked about, with the requests about each.
func (l *Lookup[T]) Begin(now int64, most int) (keys []string, requests map[string][]T) {
	requests = map[string][]T{}
	var rest []pair[T]
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
	l.waiting, l.busy, l.begun = rest, true, now
	return keys, requests
}

// End ends the question under way.
func (l *Lookup[T]) End() { l.busy = false }
