# The targets need only Go, make and git. Go fetches the pinned modules.
.PHONY: build run test fmt lint race integration soak performance play bounds regression clean

PACKAGES := ./... ./test/... ./tools/...

build:
	go build -o bin/ ./cmd/...

run: build
	./bin/lentilctl dev

# Runs everything that CI runs.
test: fmt lint build race integration

fmt:
	@out=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "gofmt differs:"; echo "$$out"; exit 1; fi

lint:
	go vet $(PACKAGES)
	go tool staticcheck $(PACKAGES)

# Fails if a test fails that KNOWN-RED.txt does not list.
race:
	.ci/gotest -race ./... ./tools/...

integration: build
	LENTILFLOW_BIN=$(CURDIR)/bin .ci/gotest -count=1 -timeout 12m ./test/...

# Tests with random faults on real processes. LENTILFLOW_SOAK_SEEDS=1-50 selects the
# seeds.
soak: build
	LENTILFLOW_BIN=$(CURDIR)/bin go test -count=1 -timeout 60m -v -run TestSoak ./test/

# Prints the tables of docs/PERFORMANCE.md from the journal of the users' bench.
performance:
	@go run ./tools/performance

# Compares policies in the scenarios of pkg/play, in virtual time. SEEDS=8 sets the
# number of seeds.
play:
	@go run ./tools/play $(SEEDS)

# Prints an upper bound of what any system could have served: SITE and DAY of the
# bench, and the REPORT of one run.
bounds:
	@go run ./tools/bounds "$(SITE)" "$(DAY)" "$(REPORT)"

# Runs the users' bench before a merge to main; skipped if it is absent (.ci/regression).
regression:
	@BENCH="$(BENCH)" SITES="$(SITES)" JOBS="$(JOBS)" WHY="$(WHY)" .ci/regression

clean:
	rm -rf bin target
