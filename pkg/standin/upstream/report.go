package upstream

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

type info struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
}

type status struct {
	State    string `json:"state"`
	Sequence uint64 `json:"seq"`
	Cold     string `json:"cold-remaining"`
}

type report struct {
	Address string `json:"address"`
	Born    int64  `json:"born"`
	Info    info   `json:"instance-info"`
	Status  status `json:"status"`
}

// report sends reports until the upstream ends.
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

// Report sends one report and returns whether it was acknowledged.
func (u *Upstream) Report() bool {
	u.mu.Lock()
	u.sequence++
	r := report{
		Address: cmp.Or(u.cfg.AdvertisedAddress, u.addr), Born: u.born,
		Info:   info{Service: u.cfg.Service, Version: "v1", Zone: u.cfg.Zone, Slots: u.cfg.Slots},
		Status: status{State: "ready", Sequence: u.sequence, Cold: "0ms"},
	}
	if u.draining {
		r.Status.State = "draining"
	}
	u.mu.Unlock()
	return u.post("Heartbeat", r)
}

// Drain reports that the upstream is leaving and returns whether that was
// acknowledged. It serves on.
func (u *Upstream) Drain() bool {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	return u.Report()
}

// Leave says that the upstream is gone and returns whether that was
// acknowledged. It serves on until Crash, and reports no more.
func (u *Upstream) Leave() bool {
	u.mu.Lock()
	u.reportsStopped = true
	u.mu.Unlock()
	return u.post("Leave", struct {
		Born int64 `json:"born"`
	}{u.born})
}

func (u *Upstream) post(operation string, body any) bool {
	text, err := json.Marshal(body)
	if err != nil {
		return false
	}
	client := http.Client{Timeout: time.Second, Transport: u.client.Transport}
	resp, err := client.Post("http://"+u.cfg.ReportAddress+"/-/Instances."+operation+"/"+u.ID, "application/json", strings.NewReader(string(text)))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}
