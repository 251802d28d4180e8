package test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// zone is an availability zone with its region.
type zone struct{ region, name string }

// deployment is one user's deployment (docs/design.md, section 1): one node
// of every service in every availability zone. The store is in the first
// region.
type deployment struct {
	name        string
	regions     []string
	zones       []zone
	services    []string
	slots       int
	connections int
}

func bertolucci() *deployment {
	return &deployment{
		name:    "bertolucci",
		regions: []string{"serra", "litoral", "oeste"},
		zones: []zone{
			{"serra", "caxias"}, {"serra", "bento"}, {"litoral", "joinville"},
			{"litoral", "itajai"}, {"oeste", "cascavel"}, {"oeste", "toledo"},
		},
		services: []string{"acompanha", "agenda", "pecas"},
		slots:    15, connections: 130,
	}
}

func haneul() *deployment {
	return &deployment{
		name:    "haneul",
		regions: []string{"seoul", "busan", "daejeon"},
		zones: []zone{
			{"seoul", "seoul-a"}, {"seoul", "seoul-b"}, {"busan", "busan-a"},
			{"busan", "busan-b"}, {"daejeon", "daejeon-a"}, {"daejeon", "daejeon-b"},
		},
		services: []string{"catalog", "ordering", "engraving"},
		slots:    12, connections: 120,
	}
}

// Host and paths of the calls that the tests make.
const (
	testHost  = "it.example"
	readPath  = "/it/read"
	orderPath = "/it/orders"
)

// operator is the person whom edit number n of the rules file names.
func operator(n int) string { return fmt.Sprintf("Operator %d", n) }

// rules returns the example rules file with rules for the calls of the tests.
// Their deadlines are long because the machine that runs the tests is shared.
// Rank 4 has no floor in the services used. The edit number changes the rule
// for reads.
func (d *deployment) rules(t testing.TB, edit int) string {
	t.Helper()
	example, err := os.ReadFile(filepath.Join("..", "examples", d.name+".rules"))
	if err != nil {
		t.Fatal(err)
	}
	return string(example) + fmt.Sprintf(`
rule it-read method=GET,POST host=%s path=%s service=%s rank=4 deadline=10s idempotent=yes retries=5   # %s: edit under test
rule it-order method=POST host=%s path=%s service=%s rank=4 deadline=10s idempotent=no retries=3 prefer=region   # Order Desk: at most once
`, testHost, readPath, d.services[0], operator(edit), testHost, orderPath, d.services[1])
}
