// Bounds prints, for each window of two seconds of a day of the users' bench, an
// upper bound of the worth that any system could have earned, and the worth that was
// reached.
//
//	go run ./tools/bounds SITE.toml DAY REPORT.json
//
// SITE.toml is the file of a deployment. REPORT.json is the report that the bench
// wrote about one run of DAY (--report); it states the arrivals of requests.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/BurntSushi/toml"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: bounds SITE.toml DAY REPORT.json")
		os.Exit(2)
	}
	if err := run(os.Stdout, os.Args[1], os.Args[2], os.Args[3]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(w io.Writer, sitePath, dayName, reportPath string) error {
	var s site
	if _, err := toml.DecodeFile(sitePath, &s); err != nil {
		return fmt.Errorf("%s: %w", sitePath, err)
	}
	text, err := os.ReadFile(reportPath)
	if err != nil {
		return err
	}
	var r report
	if err := json.Unmarshal(text, &r); err != nil {
		return fmt.Errorf("%s: %w", reportPath, err)
	}
	d, ok := s.day(dayName)
	if !ok {
		return fmt.Errorf("%s has no day %q", sitePath, dayName)
	}
	b, err := bounds(&s, d, &r)
	if err != nil {
		return err
	}
	b.print(w)
	return nil
}
