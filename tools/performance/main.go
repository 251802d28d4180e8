// Performance prints the tables of docs/PERFORMANCE.md from the journal of the users'
// bench. For each site, they show the first score that passes the gate and the last
// score.
//
//	go run ./tools/performance [DIRECTORY]
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// entry is the journal entry of one run of the bench.
type entry struct {
	ID   string `json:"id"`
	Cmd  string `json:"cmd"`
	Site string `json:"site"`
	Days []day  `json:"days"`
}

// day is one day of a run.
type day struct {
	Name           string         `json:"name"`
	Kind           string         `json:"kind"` // "quiet", "trouble" or "scale"
	Worth          float64        `json:"G"`
	FullScoreWorth *float64       `json:"top"` // worth at which the score of the day is 1, nil for a day that the run drew itself
	Gate           bool           `json:"gate"`
	BrokenRules    map[string]int `json:"rules"` // number of violations by rule
	// Parts holds the parts of the worth as name, weight and value.
	Parts [][3]any `json:"parts"`
	// Prices holds name, amount and deduction from the worth.
	Prices [][3]any `json:"prices"`
}

func main() {
	directory := "journal"
	if len(os.Args) > 1 {
		directory = os.Args[1]
	}
	scores, err := readScores(directory)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Print(tables(scores))
}

// readScores returns the scores of a journal, oldest first.
func readScores(directory string) ([]entry, error) {
	names, err := filepath.Glob(filepath.Join(directory, "*.json"))
	if err != nil {
		return nil, err
	}
	slices.Sort(names) // file names begin with the time
	var scores []entry
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		var e entry
		if err := json.Unmarshal(text, &e); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		if e.Cmd == "score" && len(e.Days) > 0 {
			scores = append(scores, e)
		}
	}
	return scores, nil
}

// passesGate reports whether all days of a score pass the gate without a broken rule.
func (e *entry) passesGate() bool {
	return !slices.ContainsFunc(e.Days, func(d day) bool { return !d.Gate || len(d.BrokenRules) > 0 })
}

// day returns the day with a name.
func (e *entry) day(name string) (day, bool) {
	i := slices.IndexFunc(e.Days, func(d day) bool { return d.Name == name })
	if i < 0 {
		return day{}, false
	}
	return e.Days[i], true
}

// tables returns one table for each site, in Markdown.
func tables(scores []entry) string {
	var b strings.Builder
	var sites []string
	for i := range scores {
		if !slices.Contains(sites, scores[i].Site) {
			sites = append(sites, scores[i].Site)
		}
	}
	slices.Sort(sites)
	for _, site := range sites {
		siteScores := slices.DeleteFunc(slices.Clone(scores), func(e entry) bool { return e.Site != site })
		first := slices.IndexFunc(siteScores, func(e entry) bool { return e.passesGate() })
		if first < 0 {
			fmt.Fprintf(&b, "%s: no score without a broken rule.\n\n", site)
			continue
		}
		writeTable(&b, &siteScores[first], &siteScores[len(siteScores)-1])
	}
	return b.String()
}

// writeTable writes the table of one site.
func writeTable(b *strings.Builder, first, last *entry) {
	fmt.Fprintf(b, "%s: first sound score %s, last score %s (%s).\n\n", last.Site, first.ID, last.ID, gateStatus(last))
	b.WriteString("| day | worth, first sound score | now | `one` mark | weakest part now | largest price now |\n|---|---|---|---|---|---|\n")
	var all, trouble mean
	for _, d := range last.Days {
		if d.FullScoreWorth == nil {
			continue // a day that the run drew itself
		}
		firstDay, ok := first.day(d.Name)
		if !ok {
			continue
		}
		fmt.Fprintf(b, "| %s | %.3f | %.3f | %.3f | %s | %s |\n", d.Name, firstDay.Worth, d.Worth, *d.FullScoreWorth,
			extreme(d.Parts, true), extreme(d.Prices, false))
		all.add(firstDay.Worth, d.Worth, *d.FullScoreWorth)
		if d.Kind != quietKind {
			trouble.add(firstDay.Worth, d.Worth, *d.FullScoreWorth)
		}
	}
	all.writeRow(b, "mean")
	name := "mean of the days with trouble"
	if t, ok := targets[last.Site]; ok {
		name += fmt.Sprintf(" (target %.2f)", t)
	}
	trouble.writeRow(b, name)
	b.WriteString("\n")
}

// quietKind is the kind of days without trouble.
const quietKind = "quiet"

// targets holds the users' target for the mean worth over the days with trouble, by
// site.
var targets = map[string]float64{
	"bertolucci-cadeiras-grown": 0.76, "haneul-hq-grown": 0.74, "bertolucci-cadeiras-large": 0.69,
	"rezidba-mreza": 0.57, "rezidba-mreza-grown": 0.46,
}

// mean sums up the worth of days in the first and the last score, and the worth at
// which the score of a day is 1.
type mean struct{ first, last, fullScore, days float64 }

func (m *mean) add(first, last, fullScore float64) {
	m.first, m.last, m.fullScore, m.days = m.first+first, m.last+last, m.fullScore+fullScore, m.days+1
}

func (m *mean) writeRow(b *strings.Builder, name string) {
	if m.days > 0 {
		fmt.Fprintf(b, "| %s | %.3f | %.3f | %.3f | | |\n", name, m.first/m.days, m.last/m.days, m.fullScore/m.days)
	}
}

func gateStatus(e *entry) string {
	if e.passesGate() {
		return "gate passed"
	}
	return "gate failed"
}

// extreme returns the name and the last value of the row whose last value is the
// smallest, or the largest if smallest is false. Of equal rows, it returns the first.
func extreme(rows [][3]any, smallest bool) string {
	best, name := 0.0, ""
	for _, r := range rows {
		v, ok := r[2].(float64)
		if ok && (name == "" || (v < best) == smallest && v != best) {
			best, name = v, fmt.Sprint(r[0])
		}
	}
	return fmt.Sprintf("%s %.3f", name, best)
}
