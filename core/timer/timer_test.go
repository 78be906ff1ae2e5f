package timer_test

import (
	"fmt"
	"time"

	"chervilreach/core/timer"
)

func ExampleQueue() {
	q := timer.New[string]()
	start := time.Unix(0, 0)
	q.Set("b", start.Add(2*time.Second))
	q.Set("a", start.Add(3*time.Second))
	q.Set("a", start.Add(time.Second))
	q.Set("c", start)
	q.Remove("c")
	for {
		key, ok := q.PopDue(start.Add(2 * time.Second))
		if !ok {
			break
		}
		fmt.Println(key)
	}
	fmt.Println(q.Len(), q.NextDeadline().IsZero())
	// Output:
	// a
	// b
	// 0 true
}
