package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func writeFile(t *testing.T, directory, name, text string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(directory, name), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against tables with the wrong scores or values. They have to show the first
// score without a broken rule and the last score, and only days with a
// FullScoreWorth.
func TestTables(t *testing.T) {
	d := t.TempDir()
	score := func(id, worth, rules string) string {
		return `{"id":"` + id + `","cmd":"score","site":"s","days":[
			{"name":"trouble-1","kind":"trouble","G":0.3,"top":0.5,"gate":true,"rules":{},"parts":[],"prices":[]},
			{"name":"quiet-1","kind":"quiet","G":` + worth + `,"top":0.5,"gate":true,"rules":{` + rules + `},
			"parts":[["whole day",0.5,0.9],["worst windows",0.5,0.4]],"prices":[["memory",3,0.01],["bytes",7,0.2]]},
			{"name":"fresh","G":0.9,"top":null,"gate":true,"rules":{},"parts":[],"prices":[]}]}`
	}
	writeFile(t, d, "1.json", score("a", "0.1", `"LOST":1`))
	writeFile(t, d, "2.json", score("b", "0.2", ""))
	writeFile(t, d, "3.json", `{"id":"r","cmd":"run","site":"s","days":[]}`)
	writeFile(t, d, "4.json", score("c", "0.6", ""))
	scores, err := readScores(d)
	if err != nil {
		t.Fatal(err)
	}
	got := tables(scores)
	for _, want := range []string{
		"first sound score b, last score c (gate passed)",
		"| quiet-1 | 0.200 | 0.600 | 0.500 | worst windows 0.400 | bytes 0.200 |",
		"| mean | 0.250 | 0.450 | 0.500 |",
		"| mean of the days with trouble | 0.300 | 0.300 | 0.500 |",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("tables lack %q:\n%s", want, got)
		}
	}
	if strings.Contains(got, "fresh") {
		t.Errorf("tables contain a day without a FullScoreWorth:\n%s", got)
	}
}

// Guards against a damaged journal that is read like an empty one.
func TestDamagedEntryIsAnError(t *testing.T) {
	d := t.TempDir()
	writeFile(t, d, "1.json", "{")
	if _, err := readScores(d); err == nil {
		t.Error("readScores accepted a damaged entry")
	}
}
