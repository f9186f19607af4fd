// Command standin plays one case of the review: it starts nodes of the system as processes of their own, with stand-ins for clients,
// servers and the platform that follow the operators' pages, and judges what these saw.
//
// It ends with 1 if the rule of the case was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 in the environment it
// plays the same without the disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	held    = 0
	broken  = 1
	cannot  = 2
	mostRun = 115 * time.Second
)

// cases gives the function that plays a case: it tells how often the rule was broken.
var cases = map[string]func(r *record, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(cannot)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannot)
	}
	type outcome struct {
		breaks int
		err    error
	}
	trouble := os.Getenv("TROUBLE") != "0"
	done := make(chan outcome, 1)
	go func() {
		breaks, err := cases[os.Args[1]](r, trouble)
		done <- outcome{breaks, err}
	}()
	select {
	case o := <-done:
		switch {
		case o.err != nil:
			r.tell("the case could not run: %v", o.err)
			os.Exit(cannot)
		case o.breaks > 0:
			r.tell("BROKEN: %d times", o.breaks)
			os.Exit(broken)
		}
		r.tell("held")
		os.Exit(held)
	case <-time.After(mostRun):
		r.tell("the case could not run: it took too long")
		os.Exit(cannot) // the nodes end with this process
	}
}
