package rules

import (
	"fmt"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Explanation says which rule applies to a call and why.
type Explanation struct {
	// Winner is the rule that applies to the call, nil if there is none.
	Winner *model.Rule `json:"winner,omitempty"`
	// Message says why there is no winner; it is empty if there is one.
	Message string `json:"message,omitempty"`
	// Others are the other rules that match, in file order.
	Others []OtherMatch `json:"others,omitempty"`
}

// OtherMatch is a rule that matches a call but does not apply to it, because
// another rule takes precedence.
type OtherMatch struct {
	Rule *model.Rule `json:"rule"`
	// Reason says why the winner takes precedence over this rule.
	Reason string `json:"reason"`
}

// Explain returns the rule of f that applies to a call, the same one that routing
// uses, and the other rules that match. The host may have a port; the path must
// be decoded. The running time is linear in the number of rules.
func Explain(f *File, method, host, path string) Explanation {
	if !ValidPath(path) {
		return Explanation{Message: fmt.Sprintf("path %s matches no rule: it must start with /, must not be below %s/, and must have no empty or dot segment", quote(path), ReservedPath)}
	}
	host = config.HostName(host)
	var matching []*model.Rule
	var winner *model.Rule
	for i := range f.Rules {
		r := &f.Rules[i]
		if !matches(&r.Match, method, host, path) {
			continue
		}
		matching = append(matching, r)
		if winner == nil || precedence(r, winner) != "" {
			winner = r
		}
	}
	if winner == nil {
		return Explanation{Message: fmt.Sprintf("no rule matches method %s, host %s and path %s", quote(method), quote(host), quote(path))}
	}
	return Explanation{Winner: winner, Others: otherMatches(matching, winner)}
}

func otherMatches(matching []*model.Rule, winner *model.Rule) []OtherMatch {
	var others []OtherMatch
	for _, r := range matching {
		if r != winner {
			others = append(others, OtherMatch{Rule: r, Reason: precedence(winner, r)})
		}
	}
	return others
}

// precedence returns the reason why a takes precedence over b when both match a
// call, or "" if b takes precedence.
func precedence(a, b *model.Rule) string {
	anyHostA, anyHostB := a.Match.Host == config.AnyHost, b.Match.Host == config.AnyHost
	listedA, listedB := len(a.Match.Methods) > 0, len(b.Match.Methods) > 0
	switch {
	case anyHostA != anyHostB:
		return textIf(anyHostB, fmt.Sprintf("%s states the host, %s has host=*", a.Name, b.Name))
	case len(a.Match.Path) != len(b.Match.Path):
		return textIf(len(a.Match.Path) > len(b.Match.Path), fmt.Sprintf("the path of %s is longer", a.Name))
	case listedA != listedB:
		return textIf(listedA, fmt.Sprintf("%s lists the method, %s has method=*", a.Name, b.Name))
	default:
		return textIf(a.Line < b.Line, fmt.Sprintf("%s comes first in the file, in line %d", a.Name, a.Line))
	}
}

func textIf(condition bool, s string) string {
	if condition {
		return s
	}
	return ""
}
