package main

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const testSite = `
machines = [{ link_mbps = 8.0, count = 2, app = "files" }, { link_mbps = 1000.0, count = 1, app = "shop" }]
services = [{ name = "files", slots = 10, cold_s = 3.0, cold_x = 2.0 }, { name = "shop", slots = 10, cold_s = 3.0, cold_x = 2.0 }]
classes = [
  { name = "order", service = "shop", kind = "unsafe", aim_ms = 300, worth = 2, late_worth = 0.2, work_ms = { mean = 100.0 }, resp_bytes = { mean = 400.0, spread = 0.6 }, calls = [{ class = "index", times = 1, share = 0.5 }] },
  { name = "plan", service = "files", kind = "download", aim_ms = 300, worth = 1, late_worth = 0.1, work_ms = { mean = 40.0 }, resp_bytes = { mean = 100000.0, spread = 0.0 } },
  { name = "index", service = "files", kind = "safe", inner = true, aim_ms = 60, worth = 0, work_ms = { mean = 20.0 } },
]
[[day]]
name = "heavy"
closing = { kind = "power_off_all", down_s = 1.3 }
`

const testReport = `{
  "parts": [["worst windows", 0.4, 0.3]],
  "windows": [{"name": "0", "n": 200, "worth": 0.9}, {"name": "2", "n": 400, "worth": 0.5}, {"name": "4", "n": 200, "worth": 0.2}],
  "classes": [{"name": "order", "n": 600, "worth": 0.6}, {"name": "plan", "n": 200, "worth": 0.5}],
  "events": [{"at_s": 4.0, "kind": "closing (power_off_all)"}]
}`

func writeInput(t *testing.T, siteText, reportText string) (sitePath, reportPath string) {
	t.Helper()
	sitePath, reportPath = filepath.Join(t.TempDir(), "site.toml"), filepath.Join(t.TempDir(), "report.json")
	for path, text := range map[string]string{sitePath: siteText, reportPath: reportText} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return sitePath, reportPath
}

// Guards against a bound that ignores a constraint. Slots, links and the time in which
// nothing runs each limit at least one window.
func TestBoundsNameBindingConstraints(t *testing.T) {
	sitePath, reportPath := writeInput(t, testSite, testReport)
	var out bytes.Buffer
	if err := run(&out, sitePath, "heavy", reportPath); err != nil {
		t.Fatal(err)
	}
	// Every second order makes a call of 20 ms and keeps its slot during it, so the
	// mean is 10 ms more.
	// Second 0: 150 orders need 16.5 of 20 slot seconds. 50 plans need 5 MB, but
	// the links carry 4 MB, which is enough for 40.
	// Second 2: 300 orders, slots for 182; 100 plans, links for 40.
	// Second 4: 1.3 s of outage, then 0.7 s at half the speed. Slots suffice for 32
	// of 150 orders, links for 14 of 50 plans.
	for _, want := range []string{
		"       0      200    0.900    0.974  links of files",
		"       2      400    0.500    0.619  links of files, slots of shop",
		"       4      200    0.200    0.300  links of files, slots of shop",
		"two worst windows: reached 0.300, bound 0.459",
		"plan: reached 0.500 of its worth, bound in time 0.470",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output lacks %q:\n%s", want, out.String())
		}
	}
}

// Guards against bounds that are computed from a damaged report or for a day that the
// deployment does not have.
func TestUnusableInputIsAnError(t *testing.T) {
	sitePath, reportPath := writeInput(t, testSite, testReport)
	if err := run(&bytes.Buffer{}, sitePath, "other", reportPath); err == nil {
		t.Error("run accepted a day that the deployment does not have")
	}
	sitePath, reportPath = writeInput(t, testSite, "{")
	if err := run(&bytes.Buffer{}, sitePath, "heavy", reportPath); err == nil {
		t.Error("run accepted a damaged report")
	}
}

// Guards the solver of linear programs with cases whose solution is known.
func TestLinearProgram(t *testing.T) {
	p := linearProgram{objective: []float64{3, 2}}
	p.addConstraint([]float64{1, 1}, 4, "both")
	p.addConstraint([]float64{1, 0}, 3, "first")
	p.addConstraint([]float64{0, 1}, 9, "second")
	x, binding := p.solve()
	if math.Abs(x[0]-3)+math.Abs(x[1]-1) > 1e-9 || strings.Join(binding, " ") != "both first" {
		t.Errorf("amounts %v, binding constraints %v, want 3 and 1, both and first", x, binding)
	}
	p.addConstraint([]float64{0, 1}, 0, "")
	if x, _ = p.solve(); math.Abs(x[0]-3)+math.Abs(x[1]) > 1e-9 {
		t.Errorf("amounts %v, want 3 and 0 if the second is limited to 0", x)
	}
}
