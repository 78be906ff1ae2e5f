package poison_test

import (
	"fmt"
	"time"

	"chervilreach/core/poison"
)

func Example() {
	judge := poison.NewJudge()
	now := time.UnixMilli(0)
	shared, deadly := poison.PartOf("llm", "5c1e07a2"), poison.PartOf("llm", "91bd3f06")
	for _, instance := range []string{"i-1", "i-2", "i-3"} {
		now = now.Add(time.Second)
		sentAt := now.Add(-time.Millisecond)
		judge.AddCrash(poison.Crash{Instance: instance, At: now, Suspects: []poison.Suspect{
			{Part: shared, SentAt: sentAt, Depth: 0, Answering: true},
			{Part: deadly, SentAt: sentAt, Depth: 1, Answering: true},
		}})
		judge.Clear(now, []poison.Part{shared})
		judge.Decide(now)
	}
	// Routers have some time to report the last crash.
	convicted, _ := judge.Decide(now.Add(time.Second))
	for _, v := range convicted {
		fmt.Println(v.Part == deadly, v.CrashCount)
	}
	// Output: true 3
}
