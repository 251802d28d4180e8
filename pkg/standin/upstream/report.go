package upstream

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// info describes the upstream in a report.
type info struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
}

// status is the state of the upstream in a report.
type status struct {
	State    string `json:"state"`
	Sequence uint64 `json:"seq"`
	Cold     string `json:"cold-remaining"`
}

// report is the JSON message of a report.
type report struct {
	Address string `json:"address"`
	Born    int64  `json:"born"`
	Info    info   `json:"instance-info"`
	Status  status `json:"status"`
}

// reportPeriodically sends reports until Leave or Crash is called.
func (u *Upstream) reportPeriodically() {
	for {
		u.mu.Lock()
		stopped := u.reportsStopped
		u.mu.Unlock()
		if !stopped {
			u.Report()
		}
		select {
		case <-u.ended:
			return
		case <-time.After(reportInterval):
		}
	}
}

// Report sends one report and returns whether the node acknowledged it within a
// second.
func (u *Upstream) Report() bool {
	u.mu.Lock()
	u.sequence++
	r := report{
		Address: cmp.Or(u.cfg.AdvertisedAddress, u.addr), Born: u.born,
		Info:   info{Service: u.cfg.Service, Version: cmp.Or(u.cfg.Software, "v1"), Zone: u.cfg.Zone, Slots: u.cfg.Slots},
		Status: status{State: "ready", Sequence: u.sequence, Cold: fmt.Sprintf("%dms", max(u.cfg.WarmUp-time.Since(time.UnixMilli(u.born)), 0).Milliseconds())},
	}
	if u.draining {
		r.Status.State = "draining"
	}
	u.mu.Unlock()
	return u.post("Heartbeat", r)
}

// Drain reports that the upstream is draining and returns whether the node
// acknowledged that within a second. The upstream continues to serve requests.
func (u *Upstream) Drain() bool {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	return u.Report()
}

// StopReports ends the periodic reports.
func (u *Upstream) StopReports() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reportsStopped = true
}

// Leave notifies the node that the upstream leaves, and returns whether the node
// acknowledged that within a second. The message has no body, as on the platform. The
// upstream sends no further reports, but continues to serve requests until Crash.
func (u *Upstream) Leave() bool {
	u.StopReports()
	return u.post("Leave", nil)
}

// post sends a message to the node and returns whether the node acknowledged it
// within a second. A nil body is empty.
func (u *Upstream) post(operation string, body any) bool {
	var text []byte
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return false
		}
	}
	client := http.Client{Timeout: time.Second, Transport: u.client.Transport}
	resp, err := client.Post("http://"+u.cfg.ReportAddress+"/-/Instances."+operation+"/"+u.ID, "application/json", strings.NewReader(string(text)))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}
