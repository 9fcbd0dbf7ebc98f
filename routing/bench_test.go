package routing

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkHandle measures the handling of one request and its outcome with 12 and with 250 endpoints. The cost must
// not grow with the number of endpoints in other zones.
func BenchmarkHandle(b *testing.B) {
	for _, endpoints := range []int{12, 250} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			router, err := New(testSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			now, list := 100*time.Second, testEndpoints(5)
			for i := len(list); i < endpoints; i++ {
				list = append(list, Endpoint{Host: Host(2000 + i), Zone: 2, State: Ready, Weight: 6})
			}
			router.Handle(now, EndpointUpdate{Kind: UpdateCached, Endpoints: list})
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				id := uint32(i + 1)
				now += 100 * time.Microsecond
				router.Handle(
					now,
					Request{ID: id, Class: classSmall, Object: uint64(i % 500), Deadline: now + time.Second},
				)
				router.Handle(
					now,
					Outcome{ID: id, Result: OK, FillStatus: FillStatusHit, Elapsed: 40 * ms, RequestDone: true},
				)
			}
		})
	}
}
