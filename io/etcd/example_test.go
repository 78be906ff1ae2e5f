package etcd_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"

	"chervilreach/fakes"
	"chervilreach/io/etcd"
)

// Two writers create the same key. The second write fails with ErrConflict, and a
// read returns the value of the first.
func ExampleClient_Write() {
	kv := fakes.NewKV(fakes.KVOptions{})
	if err := kv.Start(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		fmt.Println(err)
		return
	}
	defer kv.Close()
	client := etcd.New([]netip.AddrPort{kv.Addr()}, etcd.Options{})
	defer client.Close()

	ctx := context.Background()
	for _, value := range []string{"first", "second"} {
		_, err := client.Write(ctx, []etcd.Put{{Key: "/models/notices", Value: []byte(value)}})
		fmt.Println(value, errors.Is(err, etcd.ErrConflict))
	}
	entry, err := client.Get(ctx, "/models/notices")
	fmt.Println(string(entry.Value), err)
	// Output:
	// first false
	// second true
	// first <nil>
}
