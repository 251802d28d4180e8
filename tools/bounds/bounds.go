package main

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
)

// windowS is the length of a window of the report, in seconds.
const windowS = 2.0

// window is the bound of two seconds.
type window struct {
	start          float64
	asked          float64
	reached, bound float64 // worth, of what was owed
	binds          []string
}

// result is the bound of a day.
type result struct {
	windows []window
	kinds   []kind
	parts   [][3]any
}

// kind is the bound of a kind of request over the whole day.
type kind struct {
	name                   string
	asked, reached, inTime float64
}

// bounds returns the bound of each window: the most worth that slots, links and
// the loss of all processes permit, if every call goes where there is room, none
// fails, and none waits without need. Rejections and failures of upstreams,
// distances between zones and the processors of the nodes are left out, so the
// bound may lie above what is possible, never below.
func bounds(s *site, d day, r *report) (*result, error) {
	m := newModel(s, d, r)
	b := &result{parts: r.Parts}
	for _, c := range m.classes {
		b.kinds = append(b.kinds, kind{name: c.Name, asked: m.asked[c.Name], reached: m.reached[c.Name]})
	}
	for _, w := range r.Windows {
		start, err := strconv.ParseFloat(w.Name, 64)
		if err != nil {
			return nil, fmt.Errorf("window %q: %w", w.Name, err)
		}
		asked := make([]float64, len(m.classes))
		owed := 0.0
		for i, c := range m.classes {
			asked[i] = w.owed() * m.asked[c.Name] / m.total
			owed += asked[i] * c.Worth
		}
		served, binds := m.serve(start, asked)
		worth := 0.0
		for i, c := range m.classes {
			worth += served[i]*c.Worth + (asked[i]-served[i])*c.Late
			b.kinds[i].inTime += served[i]
		}
		b.windows = append(b.windows, window{start: start, asked: w.owed(), reached: w.Worth, bound: min(worth/owed, 1), binds: binds})
	}
	return b, nil
}

// model is the capacity of a deployment on one day.
type model struct {
	site           *site
	closing        float64 // when all processes are lost, below 0 if they are not
	down           float64 // for how long
	cold           bool    // the machines with their upstreams are lost too
	classes        []class // without inner ones
	all            map[string]class
	asked, reached map[string]float64 // by class
	total          float64
}

func newModel(s *site, d day, r *report) *model {
	m := &model{
		site: s, closing: -1, down: d.Closing.Down, cold: d.Closing.Kind == "power_off_all",
		all: make(map[string]class), asked: make(map[string]float64), reached: make(map[string]float64),
	}
	for _, c := range s.Classes {
		m.all[c.Name] = c
		if !c.Inner {
			m.classes = append(m.classes, c)
		}
	}
	for _, c := range r.Classes {
		m.asked[c.Name], m.reached[c.Name] = c.owed(), c.Worth
		m.total += c.owed()
	}
	for _, e := range r.Events {
		if strings.HasPrefix(e.Kind, "closing") {
			m.closing = e.At
		}
	}
	return m
}

// serve returns the requests of each kind that can be served in time in the
// window from start on, and the names of what keeps it from more.
func (m *model) serve(start float64, asked []float64) (served []float64, binds []string) {
	p := program{}
	for i, c := range m.classes {
		p.worth = append(p.worth, c.Worth-c.Late)
		limit, name := asked[i]*(1-tooLong(&c)), ""
		if lost := m.lost(start, c.Aim/1000); lost > 0 {
			limit, name = limit*(1-lost), "processes lost"
		}
		if c.Kind == "download" {
			if most := m.downloads(start, &c, asked[i]); most < limit {
				limit, name = most, "links of "+c.Service
			}
		}
		row := make([]float64, len(m.classes))
		row[i] = 1
		p.add(row, limit, name)
	}
	for i := range m.site.Services {
		s := &m.site.Services[i]
		row := make([]float64, len(m.classes))
		for j := range m.classes {
			row[j] = m.work(&m.classes[j], s.Name)
		}
		p.add(row, m.slots(start, s), "slots of "+s.Name)
	}
	x, tight := p.solve()
	return x, tight
}

// tooLong is the part of a kind's requests whose work alone takes longer than
// their aim. Work is log-normal, with a tail of longer requests.
func tooLong(c *class) float64 {
	w := c.Work
	if w.Spread <= 0 || w.Mean <= 0 {
		return 0
	}
	above := func(limit float64) float64 {
		return normal(-(math.Log(limit/w.Mean) + w.Spread*w.Spread/2) / w.Spread)
	}
	part := (1 - w.Tail) * above(c.Aim)
	if w.Tail > 0 && w.TailX > 0 {
		part += w.Tail * above(c.Aim/w.TailX)
	}
	return part
}

// work is the time that a request takes at a service, in slot seconds: its own
// run, which keeps its slot during the calls that it makes, and those calls.
func (m *model) work(c *class, service string) float64 {
	sum := 0.0
	if c.Service == service {
		sum = c.Work.Mean
	}
	for _, call := range c.Calls {
		inner := m.all[call.Class]
		if inner.Service == service {
			sum += call.Times * call.Share * inner.Work.Mean
		}
		if c.Service != service {
			continue
		}
		if call.Together {
			sum += call.Share * inner.Work.Mean
		} else {
			sum += call.Times * call.Share * inner.Work.Mean
		}
	}
	return sum / 1000
}

// slots is what a service can work in a window, in slot seconds.
func (m *model) slots(start float64, s *service) float64 {
	servers := 0
	for _, k := range m.site.Machines {
		if k.App == s.Name {
			servers += k.Count
		}
	}
	seconds := windowS
	if m.closing >= 0 {
		back := m.closing + m.down
		seconds -= overlap(start, m.closing, back)
		if m.cold && s.ColdX > 1 {
			seconds -= overlap(start, back, back+s.ColdS) * (1 - 1/s.ColdX)
		}
	}
	return float64(servers*s.Slots) * seconds * speed(s.Speeds)
}

// speed is the mean speed of upstreams, whichever way the file means it: as
// work done in a time, or as time for a work.
func speed(values []float64) float64 {
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

// lost is the part of the requests of a window that come while all processes
// are lost, too early to be served within aim seconds. Where the machines are
// lost too, nothing is owed to the callers that cannot reach one.
func (m *model) lost(start, aim float64) float64 {
	if m.closing < 0 || m.cold {
		return 0
	}
	return overlap(start, m.closing, m.closing+m.down-aim) / windowS
}

// downloads is how many of the requests that are asked for the links can carry,
// if the smallest answers go first. Sizes are log-normal.
func (m *model) downloads(start float64, c *class, asked float64) float64 {
	bytes := 0.0
	for _, k := range m.site.Machines {
		if k.App == c.Service {
			bytes += float64(k.Count) * k.Link * 1e6 / 8 * windowS
		}
	}
	if m.closing >= 0 {
		bytes *= 1 - overlap(start, m.closing, m.closing+m.down)/windowS
	}
	share := bytes / (asked * c.Answer.Mean)
	if share >= 1 || asked == 0 {
		return asked
	}
	return asked * normal(quantile(share)+c.Answer.Spread)
}

func normal(x float64) float64 { return math.Erfc(-x/math.Sqrt2) / 2 }

func quantile(p float64) float64 { return -math.Sqrt2 * math.Erfcinv(2*p) }

// overlap is how much of the window from start on lies between two times.
func overlap(start, from, to float64) float64 {
	return max(0, min(start+windowS, to)-max(start, from))
}

func (b *result) print(w io.Writer) {
	reached, bound, asked := 0.0, 0.0, 0.0
	var worst []float64
	_, _ = fmt.Fprintf(w, "%8s %8s %8s %8s  %s\n", "second", "asked", "reached", "bound", "binds")
	for _, x := range b.windows {
		_, _ = fmt.Fprintf(w, "%8.0f %8.0f %8.3f %8.3f  %s\n", x.start, x.asked, x.reached, x.bound, strings.Join(x.binds, ", "))
		reached += x.reached * x.asked
		bound += x.bound * x.asked
		asked += x.asked
		worst = append(worst, x.bound)
	}
	slices.Sort(worst)
	_, _ = fmt.Fprintf(w, "whole day: reached %.3f, bound %.3f\n", reached/asked, bound/asked)
	if len(worst) > 1 {
		_, _ = fmt.Fprintf(w, "two worst windows: reached %.3f, bound %.3f\n", b.part("worst windows"), (worst[0]+worst[1])/2)
	}
	for _, k := range b.kinds {
		_, _ = fmt.Fprintf(w, "%s: reached %.3f of its worth, bound in time %.3f\n", k.name, k.reached, k.inTime/k.asked)
	}
}

// part returns a part of the day's worth as the bench states it.
func (b *result) part(name string) float64 {
	for _, p := range b.parts {
		if v, ok := p[2].(float64); ok && p[0] == name {
			return v
		}
	}
	return math.NaN()
}
