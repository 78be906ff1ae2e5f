// Command standin plays the cases of the review: it starts the programs of the system as processes on
// loopback addresses, beside stand-ins of the platform's store, of replicas and of clients.
//
// The exit code is 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Bounds of the users' pages for the site kht-gecis.
const (
	contact     = 3 * time.Second
	configApply = 2 * time.Second
	maxStretch  = 5 * time.Second
	drainBound  = 2 * time.Second
)

// loadTime is the duration of a load from the weight store.
const loadTime = 2 * time.Second

// play plays a case. It returns how the rule was broken, one line for each time.
type play func(f *fleet, trouble bool) ([]string, error)

var plays = map[string]play{
	"config": playConfig, "fence": playFence, "entry": playEntry, "drain": playDrain, "cut": playCut, "twice": playTwice,
}

func main() {
	name := flag.String("case", "", "name of the case")
	out := flag.String("record", "record.txt", "record of the play")
	flag.Parse()
	os.Exit(run1(*name, *out))
}

func run1(name, out string) int {
	p := plays[name]
	rec, err := newRecord(out)
	if p == nil || err != nil {
		fmt.Println("case", name, "can't run:", err)
		return 2
	}
	f, err := newFleet(rec)
	if f != nil {
		defer f.stop()
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		go func() {
			<-signals
			f.stop()
			os.Exit(2)
		}()
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption %t", name, trouble)
	var broken []string
	if err == nil {
		broken, err = p(f, trouble)
	}
	if err == nil && len(broken) == 0 {
		err = f.checkAlive()
	}
	if err == nil && rec.servedCount() == 0 {
		err = errors.New("no request was served")
	}
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	}
	for _, text := range broken {
		rec.add("BROKEN: %s", text)
	}
	fmt.Printf("%s: broken %d times\n", name, len(broken))
	if len(broken) > 0 {
		fmt.Println(broken[0])
		return 1
	}
	rec.add("the rule held")
	return 0
}
