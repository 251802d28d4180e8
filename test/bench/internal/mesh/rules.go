package mesh

import (
	"fmt"
	"strings"
)

// services is the number of services of the target (docs/design.md, section 2).
const services = 140

// host is the host that the generated rules match.
const host = "api.bench.example"

// Service returns the name of the service with a number. Rule i is for the
// service with number i.
func Service(i int) string { return fmt.Sprintf("service-%03d", i%services) }

// Rules returns a rules file with n rules. change alters the line of one rule,
// as an operator's edit does; 0 alters none.
func Rules(n, change int) []byte {
	var b strings.Builder
	for i := range min(n, services) {
		fmt.Fprintf(&b, "service %s slots=15 connections=130   # Ana Prado: team %d\n", Service(i), i%17)
	}
	for i := range n {
		deadline := 400 + i%7*100
		if change > 0 && i == change*7%n {
			deadline = 3000 + change
		}
		fmt.Fprintf(&b, "rule rule-%04d method=GET host=%s path=/area-%04d/items service=%s rank=%d target=80ms worth=%d deadline=%dms idempotent=yes retries=1   # Marina Costa: request %d\n",
			i, host, i, Service(i), i%8, 1+i%4, deadline, 1000+i*37%4001)
	}
	return []byte(b.String())
}

func path(rule int) string { return fmt.Sprintf("/area-%04d/items/1", rule) }
