package timer

// timerHeap implements heap.Interface. It records each timer's index in the timer, so that a timer can be removed from
// any position.
type timerHeap []*Timer

// Len implements sort.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements sort.Interface.
func (h timerHeap) Less(i, j int) bool {
	if h[i].deadline != h[j].deadline {
		return h[i].deadline < h[j].deadline
	}
	return h[i].sequence < h[j].sequence
}

// Swap implements sort.Interface.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i + 1
	h[j].heapIndex = j + 1
}

// Push implements heap.Interface.
func (h *timerHeap) Push(value any) {
	timer := value.(*Timer)
	*h = append(*h, timer)
	timer.heapIndex = len(*h)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	timers := *h
	last := len(timers) - 1
	timer := timers[last]
	timers[last] = nil // the slice's unused capacity must not retain the timer
	*h = timers[:last]
	timer.heapIndex = 0
	return timer
}
