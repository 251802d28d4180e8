// Command harness runs the scripted cases of the review on loopback. It starts the nodes
// as separate processes by the command of the deploy file; the store, the backends, the
// operator and the clients are stand-ins in this process.
//
//	harness CASE ROOT RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is the outcome of a case.
type verdict struct {
	broken  bool
	summary string
}

var cases = map[string]func(d *deployment, trouble bool) (verdict, error){
	"crash-records": crashRecords,
	"silent-watch":  silentWatch,
	"late-reports":  lateReports,
	"extra-bytes":   extraBytes,
	"clients-leave": clientsLeave,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE ROOT RECORD")
		return 2
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, trouble: %v", os.Args[1], trouble)
	d, err := newDeployment(os.Args[2], rec)
	if err != nil {
		rec.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.stopAll()
	type result struct {
		v   verdict
		err error
	}
	done := make(chan result, 1)
	go func() {
		v, err := cases[os.Args[1]](d, trouble)
		done <- result{v, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case r := <-done:
		if r.err != nil {
			rec.line("could not run: %v", r.err)
			fmt.Fprintln(os.Stderr, r.err)
			return 2
		}
		rec.line("%s", r.v.summary)
		d.writeRequests()
		fmt.Println(r.v.summary)
		if r.v.broken {
			return 1
		}
		return 0
	case <-stop:
	case <-time.After(115 * time.Second):
		fmt.Fprintln(os.Stderr, "the case took too long")
	}
	return 2
}
