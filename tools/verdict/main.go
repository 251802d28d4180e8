// Verdict reads the output of "go test -json" from standard input. It prints the
// output of failed tests, the known failures that occurred, and a summary. It exits
// with status 1 if a test failed that the file of known failures does not list.
//
//	go test -json ./... | go run ./tools/verdict FILE
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strings"
)

// event is one line of the output of "go test -json". Its fields have the names of
// the keys.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

type test struct{ pkg, name string }

func main() {
	known, err := knownFailures(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	os.Exit(evaluate(known))
}

// knownFailures reads the file of known failures. Each entry begins with
// "PACKAGE TestName". Empty lines and lines that begin with a blank, a tab or '#' are
// skipped. A missing file has no entries.
func knownFailures(path string) (map[test]bool, error) {
	known := make(map[test]bool)
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return known, nil
	}
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		if strings.TrimSpace(line) == "" || strings.ContainsAny(line[:1], "# \t") {
			continue
		}
		words := strings.Fields(line)
		if len(words) < 2 {
			return nil, fmt.Errorf("%s: entry %q does not begin with a package and a test", path, strings.TrimSpace(line))
		}
		known[test{words[0], words[1]}] = true
	}
	return known, nil
}

// evaluate reads the events from standard input, prints the report and returns the
// exit status.
func evaluate(known map[test]bool) int {
	output := make(map[test][]string)
	passed, failed, skipped, knownSeen := 0, 0, 0, 0
	failedIn := make(map[string]int)
	status := 0
	lines := bufio.NewScanner(os.Stdin)
	lines.Buffer(nil, 1<<20) // longer lines than 1 MiB are an error
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			fmt.Println(lines.Text()) // message of the compiler
			continue
		}
		id := test{e.Package, e.Test}
		topLevel := test{e.Package, strings.SplitN(e.Test, "/", 2)[0]}
		switch e.Action {
		case "output", "build-output":
			output[id] = append(output[id], e.Output)
		case "pass":
			if e.Test != "" {
				passed++
			}
		case "skip":
			if e.Test != "" {
				skipped++
			}
		case "fail", "build-fail":
			if e.Test == "" && failedIn[e.Package] > 0 {
				continue // the failed tests of the package are counted already
			}
			failedIn[e.Package]++
			if known[topLevel] {
				knownSeen++
				fmt.Printf("known failure: %s %s\n", e.Package, e.Test)
				continue
			}
			failed, status = failed+1, 1
			fmt.Printf("--- FAIL: %s %s\n%s", e.Package, e.Test, strings.Join(output[id], ""))
		}
	}
	if err := lines.Err(); err != nil {
		fmt.Println(err)
		status = 1
	}
	if knownSeen > 0 {
		fmt.Printf("%d known failures were seen (KNOWN-RED.txt)\n", knownSeen)
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", passed, failed, skipped)
	return status
}
