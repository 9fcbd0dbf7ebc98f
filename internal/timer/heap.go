package timer

// timerHeap implements heap.Interface. It tells each timer its index, so that the timer can be removed from the middle.
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
	timers[last] = nil // the slice's spare capacity must not keep the timer alive
	*h = timers[:last]
	timer.heapIndex = 0
	return timer
}
