package rules

import (
	"fmt"
	"strings"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// check reports a file without statements and the faults that involve more than
// one line.
func (p *parser) check() {
	if len(p.faults) == 0 && len(p.services) == 0 && len(p.rules) == 0 && len(p.teams) == 0 {
		p.fault(1, "", "the file holds no statement", acceptedStatements)
	}
	p.checkServices()
	p.checkRuleNames()
	p.checkMatches()
	p.checkFloors()
	p.checkTeams()
}

// checkTeams reports teams with the name of an earlier one, and keys that are stated
// twice.
func (p *parser) checkTeams() {
	lines, keys := make(map[string]int, len(p.teams)), make(map[string]int, len(p.teams))
	for _, t := range p.teams {
		p.checkUnique(lines, teamWord, t.value.Name, t.value.Line)
		if !t.valid {
			continue
		}
		for _, d := range t.value.Keys {
			if first, ok := keys[d]; ok {
				p.fault(t.value.Line, keyField, fmt.Sprintf("the key with the digest %s is already stated in line %d", shortDigest(d), first), "a key that is stated once")
				continue
			}
			keys[d] = t.value.Line
		}
	}
}

func (p *parser) checkServices() {
	lines := make(map[string]int, len(p.services))
	for _, s := range p.services {
		p.checkUnique(lines, "service", s.value.Name, s.value.Line)
	}
	declared := p.declaredServices()
	for _, r := range p.rules {
		name := r.value.Service
		if _, ok := lines[name]; !ok && validName(name) {
			p.fault(r.value.Line, "service", fmt.Sprintf("service %q is not declared in this file", name), declared)
		}
	}
}

// declaredServices lists the names of the declared services for a message; above
// ten it states the number of the others.
func (p *parser) declaredServices() string {
	const limit = 10
	var names []string
	for _, s := range p.services {
		if s.value.Name != "" {
			names = append(names, s.value.Name)
		}
	}
	switch {
	case len(names) == 0:
		return "none, because the file declares no service"
	case len(names) > limit:
		return fmt.Sprintf("%s and %d more", strings.Join(names[:limit], ", "), len(names)-limit)
	}
	return strings.Join(names, ", ")
}

func (p *parser) checkRuleNames() {
	lines := make(map[string]int, len(p.rules))
	for _, r := range p.rules {
		p.checkUnique(lines, "rule", r.value.Name, r.value.Line)
	}
}

func (p *parser) checkUnique(lines map[string]int, kind, name string, line int) {
	if name == "" {
		return
	}
	if first, ok := lines[name]; ok {
		p.fault(line, "name", fmt.Sprintf("%s %q is already declared in line %d", kind, name, first), "a name that no other "+kind+" has")
		return
	}
	lines[name] = line
}

// checkMatches reports rules with the same match as an earlier one, since they
// could never apply to a call.
func (p *parser) checkMatches() {
	lines := make(map[string]int, len(p.rules))
	for _, r := range p.rules {
		if !r.valid {
			continue
		}
		m := r.value.Match
		key := m.Host + " " + m.Path + " " + strings.Join(m.Methods, ",")
		if first, ok := lines[key]; ok {
			p.fault(r.value.Line, "path", fmt.Sprintf("method, host and path are the same as in line %d", first), "a match that no other rule has")
			continue
		}
		lines[key] = r.value.Line
	}
}

// rankFloor is the floor of one rank of a service in percent, and the first line
// that states it, 0 if there is none.
type rankFloor struct {
	floor, line int
}

// checkFloors reports different floors for one rank of a service, and floors
// that add up to more than all slots.
func (p *parser) checkFloors() {
	floors := make(map[string]*[model.MaxRank + 1]rankFloor)
	for _, r := range p.rules {
		if !r.valid {
			continue
		}
		byRank := floors[r.value.Service]
		if byRank == nil {
			byRank = new([model.MaxRank + 1]rankFloor)
			floors[r.value.Service] = byRank
		}
		p.checkFloor(byRank, &r.value)
	}
}

func (p *parser) checkFloor(byRank *[model.MaxRank + 1]rankFloor, r *model.Rule) {
	at := &byRank[r.Rank]
	if at.line != 0 {
		if at.floor != r.Floor {
			p.fault(r.Line, "floor",
				fmt.Sprintf("floor %d%% differs from the floor of the same rank and service in line %d", r.Floor, at.line),
				fmt.Sprintf("%d%%", at.floor))
		}
		return
	}
	rest := 100
	for _, o := range byRank {
		rest -= o.floor
	}
	at.line, at.floor = r.Line, r.Floor
	if r.Floor > max(rest, 0) {
		p.fault(r.Line, "floor",
			fmt.Sprintf("with %d%% for rank %d the floors of service %s add up to %d%%", r.Floor, r.Rank, r.Service, 100-rest+r.Floor),
			fmt.Sprintf("at most %d%%", max(rest, 0)))
	}
}
