// Verdict reads the output of "go test -json" and fails if a test failed that
// the file of known failures does not list. It prints a summary, the output of
// failed tests, and the known failures that were seen.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strings"
)

// event is a line of "go test -json".
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

// knownFailures reads the entries "PACKAGE TestName" of a file; a missing file
// has none.
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

func evaluate(known map[test]bool) int {
	output := make(map[test][]string)
	passed, failed, skipped, knownSeen := 0, 0, 0, 0
	failedIn := make(map[string]int)
	status := 0
	lines := bufio.NewScanner(os.Stdin)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			fmt.Println(lines.Text()) // of the compiler
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
				continue // its tests were counted
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
