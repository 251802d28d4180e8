//go:build review2

package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
)

// Short names for the types of handlers.
type (
	http_   = http.ResponseWriter
	request = http.Request
)

// Exit statuses of a case.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	couldNotRun = 2
)

// errBroken means that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

var cases = map[string]func(rec *record, trouble bool) error{
	"term": termCase, "silence": silenceCase, "crash": crashCase, "reset": resetCase, "leave": leaveCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: harness2 CASE RECORD")
		os.Exit(couldNotRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(couldNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	err = cases[os.Args[1]](rec, trouble)
	status := ruleHeld
	switch {
	case errors.Is(err, errBroken):
		status = ruleBroken
		rec.say("RULE BROKEN")
	case err != nil:
		status = couldNotRun
		rec.say("could not run: %v", err)
	default:
		rec.say("the rule held")
	}
	rec.close()
	os.Exit(status)
}
