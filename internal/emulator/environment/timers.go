package environment

import "container/heap"

// Timers is a queue of functions to be called at given times. Functions for the same time are
// called in the order in which they were added.
type Timers struct {
	list timerHeap
	seq  int
}

type timer struct {
	at   int64
	seq  int
	call func()
}

// Add schedules f at a time.
func (t *Timers) Add(at int64, f func()) {
	t.seq++
	heap.Push(&t.list, timer{at, t.seq, f})
}

// Next returns the time of the next function, and whether there is one.
func (t *Timers) Next() (int64, bool) {
	if len(t.list) == 0 {
		return 0, false
	}
	return t.list[0].at, true
}

// Take removes the next function and returns it.
func (t *Timers) Take() func() { return heap.Pop(&t.list).(timer).call }

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	l := *h
	x := l[len(l)-1]
	l[len(l)-1] = timer{}
	*h = l[:len(l)-1]
	return x
}
