package main

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
)

// windowSeconds is the length of a window of the report.
const windowSeconds = 2.0

// window is the result for one window of the report. reached and bound are shares of
// the worth if all requests met their latency targets.
type window struct {
	start          float64 // seconds
	requests       float64
	reached, bound float64
	binding        []string // names of the constraints that limit the bound
}

// result holds the bounds and the parts of the worth of one day.
type result struct {
	windows []window
	classes []classBound
	parts   [][3]any // as in the report
}

// classBound is the result for a class of requests over the whole day. reached is
// the share of the worth that was earned. inTime is the number of requests that are
// served within the latency target when the worth of each window is largest.
type classBound struct {
	name                      string
	requests, reached, inTime float64
}

// bounds returns the upper bound of each window. It is the largest worth that slots,
// links and the loss of all processes permit if every call reaches an upstream with
// free capacity, none fails, and none waits unnecessarily. Rejections and failures of
// upstreams, network latency between zones and the CPU time of the nodes are left
// out. The bound may therefore be above what is possible, but never below.
func bounds(s *site, d day, r *report) (*result, error) {
	m := newModel(s, d, r)
	b := &result{parts: r.Parts}
	for _, c := range m.classes {
		b.classes = append(b.classes, classBound{name: c.Name, requests: m.requests[c.Name], reached: m.reached[c.Name]})
	}
	for _, w := range r.Windows {
		start, err := strconv.ParseFloat(w.Name, 64)
		if err != nil {
			return nil, fmt.Errorf("window %q: %w", w.Name, err)
		}
		requests := make([]float64, len(m.classes))
		offered := 0.0
		for i, c := range m.classes {
			requests[i] = w.counted() * m.requests[c.Name] / m.totalRequests
			offered += requests[i] * c.Worth
		}
		served, binding := m.maxServed(start, requests)
		worth := 0.0
		for i, c := range m.classes {
			worth += served[i]*c.Worth + (requests[i]-served[i])*c.LateWorth
			b.classes[i].inTime += served[i]
		}
		b.windows = append(b.windows, window{start: start, requests: w.counted(), reached: w.Worth, bound: min(worth/offered, 1), binding: binding})
	}
	return b, nil
}

// model is the capacity of a deployment on one day.
type model struct {
	site              *site
	outageStart       float64 // time in seconds at which all processes are lost, below 0 if they are not
	outageSeconds     float64 // duration of the outage
	machinesLost      bool    // the machines and their upstreams are lost as well
	classes           []class // without inner classes
	classesByName     map[string]class
	requests, reached map[string]float64 // by class; reached is the share of the worth that was earned
	totalRequests     float64
}

func newModel(s *site, d day, r *report) *model {
	m := &model{
		site: s, outageStart: -1, outageSeconds: d.Outage.Duration, machinesLost: d.Outage.Kind == "power_off_all",
		classesByName: make(map[string]class), requests: make(map[string]float64), reached: make(map[string]float64),
	}
	for _, c := range s.Classes {
		m.classesByName[c.Name] = c
		if !c.Inner {
			m.classes = append(m.classes, c)
		}
	}
	for _, c := range r.Classes {
		m.requests[c.Name], m.reached[c.Name] = c.counted(), c.Worth
		m.totalRequests += c.counted()
	}
	for _, e := range r.Events {
		if strings.HasPrefix(e.Kind, "closing") {
			m.outageStart = e.At
		}
	}
	return m
}

// maxServed returns the number of requests of each class that can be served within
// their latency targets in the window that begins at start, and the names of the
// binding constraints. requests is the number of arriving requests of each class.
func (m *model) maxServed(start float64, requests []float64) (served []float64, binding []string) {
	p := linearProgram{}
	for i, c := range m.classes {
		p.objective = append(p.objective, c.Worth-c.LateWorth)
		limit, name := requests[i]*(1-tooLongShare(&c)), ""
		if lost := m.lostShare(start, c.LatencyTarget/1000); lost > 0 {
			limit, name = limit*(1-lost), "processes lost"
		}
		if c.Kind == "download" {
			if most := m.maxDownloads(start, &c, requests[i]); most < limit {
				limit, name = most, "links of "+c.Service
			}
		}
		row := make([]float64, len(m.classes))
		row[i] = 1
		p.addConstraint(row, limit, name)
	}
	for i := range m.site.Services {
		s := &m.site.Services[i]
		row := make([]float64, len(m.classes))
		for j := range m.classes {
			row[j] = m.slotSeconds(&m.classes[j], s.Name)
		}
		p.addConstraint(row, m.slotCapacity(start, s), "slots of "+s.Name)
	}
	x, binding := p.solve()
	return x, binding
}

// tooLongShare returns the share of the requests of a class whose service time alone
// exceeds their latency target. Service times are log-normal, and those of a share of
// the requests (the tail) are longer by a factor.
func tooLongShare(c *class) float64 {
	w := c.Work
	if w.Spread <= 0 || w.Mean <= 0 {
		return 0
	}
	above := func(limit float64) float64 {
		return normalCDF(-(math.Log(limit/w.Mean) + w.Spread*w.Spread/2) / w.Spread)
	}
	share := (1 - w.Tail) * above(c.LatencyTarget)
	if w.Tail > 0 && w.TailFactor > 0 {
		share += w.Tail * above(c.LatencyTarget/w.TailFactor)
	}
	return share
}

// slotSeconds returns the mean time for which a request occupies slots of a service,
// in seconds. It includes its own run, which keeps its slot during the inner calls, and
// the runs of the inner calls.
func (m *model) slotSeconds(c *class, service string) float64 {
	sum := 0.0
	if c.Service == service {
		sum = c.Work.Mean
	}
	for _, call := range c.Calls {
		inner := m.classesByName[call.Class]
		if inner.Service == service {
			sum += call.Times * call.Share * inner.Work.Mean
		}
		if c.Service != service {
			continue
		}
		if call.Concurrent {
			sum += call.Share * inner.Work.Mean
		} else {
			sum += call.Times * call.Share * inner.Work.Mean
		}
	}
	return sum / 1000
}

// slotCapacity returns the slot time of a service in the window that begins at start,
// in seconds at speed 1.
func (m *model) slotCapacity(start float64, s *service) float64 {
	servers := 0
	for _, k := range m.site.Machines {
		if k.App == s.Name {
			servers += k.Count
		}
	}
	seconds := windowSeconds
	if m.outageStart >= 0 {
		outageEnd := m.outageStart + m.outageSeconds
		seconds -= overlap(start, m.outageStart, outageEnd)
		if m.machinesLost && s.ColdFactor > 1 {
			seconds -= overlap(start, outageEnd, outageEnd+s.ColdSeconds) * (1 - 1/s.ColdFactor)
		}
	}
	return float64(servers*s.Slots) * seconds * meanSpeed(s.Speeds)
}

// meanSpeed returns the mean speed of upstreams. The file may state speeds as work per
// time or as time per work, so the larger mean of both readings is returned.
func meanSpeed(values []float64) float64 {
	if len(values) == 0 {
		return 1
	}
	mean, inverse := 0.0, 0.0
	for _, v := range values {
		mean += v / float64(len(values))
		inverse += 1 / v / float64(len(values))
	}
	return max(mean, inverse)
}

// lostShare returns the share of the requests of a window that arrive while all
// processes are lost, and more than target seconds before the end of the outage, so
// that they miss a latency target of that length. If the machines are lost as well, it
// is 0, because requests that cannot reach a machine do not count.
func (m *model) lostShare(start, target float64) float64 {
	if m.outageStart < 0 || m.machinesLost {
		return 0
	}
	return overlap(start, m.outageStart, m.outageStart+m.outageSeconds-target) / windowSeconds
}

// maxDownloads returns how many of the requested downloads the links can carry in a
// window if the smallest responses go first. Sizes are log-normal.
func (m *model) maxDownloads(start float64, c *class, requests float64) float64 {
	bytes := 0.0
	for _, k := range m.site.Machines {
		if k.App == c.Service {
			bytes += float64(k.Count) * k.Link * 1e6 / 8 * windowSeconds
		}
	}
	if m.outageStart >= 0 {
		bytes *= 1 - overlap(start, m.outageStart, m.outageStart+m.outageSeconds)/windowSeconds
	}
	share := bytes / (requests * c.Response.Mean)
	if share >= 1 || requests == 0 {
		return requests
	}
	return requests * normalCDF(normalQuantile(share)+c.Response.Spread)
}

// normalCDF is the distribution function of the standard normal distribution.
func normalCDF(x float64) float64 { return math.Erfc(-x/math.Sqrt2) / 2 }

// normalQuantile is the inverse of normalCDF.
func normalQuantile(p float64) float64 { return -math.Sqrt2 * math.Erfcinv(2*p) }

// overlap returns how many seconds of the window that begins at start lie between two
// times.
func overlap(start, from, to float64) float64 {
	return max(0, min(start+windowSeconds, to)-max(start, from))
}

func (b *result) print(w io.Writer) {
	reached, bound, requests := 0.0, 0.0, 0.0
	var worst []float64
	_, _ = fmt.Fprintf(w, "%8s %8s %8s %8s  %s\n", "second", "asked", "reached", "bound", "binds")
	for _, x := range b.windows {
		_, _ = fmt.Fprintf(w, "%8.0f %8.0f %8.3f %8.3f  %s\n", x.start, x.requests, x.reached, x.bound, strings.Join(x.binding, ", "))
		reached += x.reached * x.requests
		bound += x.bound * x.requests
		requests += x.requests
		worst = append(worst, x.bound)
	}
	slices.Sort(worst)
	_, _ = fmt.Fprintf(w, "whole day: reached %.3f, bound %.3f\n", reached/requests, bound/requests)
	if len(worst) > 1 {
		_, _ = fmt.Fprintf(w, "two worst windows: reached %.3f, bound %.3f\n", b.partValue("worst windows"), (worst[0]+worst[1])/2)
	}
	for _, k := range b.classes {
		_, _ = fmt.Fprintf(w, "%s: reached %.3f of its worth, bound in time %.3f\n", k.name, k.reached, k.inTime/k.requests)
	}
}

// partValue returns the value of a part of the day's worth as the report states it,
// NaN if it does not.
func (b *result) partValue(name string) float64 {
	for _, p := range b.parts {
		if v, ok := p[2].(float64); ok && p[0] == name {
			return v
		}
	}
	return math.NaN()
}
