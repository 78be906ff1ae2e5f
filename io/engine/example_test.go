package engine_test

import (
	"context"
	"fmt"
	"net/netip"

	"chervilreach/core/fleet"
	"chervilreach/fakes"
	"chervilreach/io/engine"
)

// An engine loads a model. The connection of a call breaks after two chunks, and the
// remaining chunks arrive on a second connection without a second execution.
func ExampleClient_Follow() {
	fake := fakes.NewEngine(fakes.EngineOptions{TimeScale: 0.001})
	if err := fake.Start(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		fmt.Println(err)
		return
	}
	defer fake.Close()
	client := engine.New(fake.Addr())
	defer client.Close()

	ctx := context.Background()
	outcome, err := client.Order(ctx, fleet.Order{ID: "o1", Action: fleet.ActionLoadModel, Model: "notices@1"})
	fmt.Println(outcome, err)

	fake.SetFaults(fakes.EngineFaults{TruncateFromChunk: 2})
	f, err := client.Follow(ctx, engine.Request{
		ID:   "r1",
		Path: engine.PathCompletions,
		Body: []byte(`{"model":"notices@1","prompt":"close our street","max_tokens":3,"stream":true}`),
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer f.Close()
	for err == nil {
		var chunk engine.Chunk
		if chunk, err = f.Next(); err == nil {
			fmt.Println("chunk", chunk.Index)
		}
	}
	fmt.Println(err, "after", fake.ExecutionCount("r1"), "run")
	// Output:
	// done <nil>
	// chunk 0
	// chunk 1
	// chunk 2
	// chunk 3
	// EOF after 1 run
}
