# Targets need Go, make and git only; Go fetches the pinned modules.
.PHONY: build run test fmt lint unit race integration bench-distribution bench-path capacity clean

PACKAGES := ./... ./test/...

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

race:
	go test -race ./...

integration: build
	LENTILFLOW_BIN=$(CURDIR)/bin go test -count=1 -timeout 8m ./test/...

# Prints one line for each figure: name, value, unit, target, holds or misses.
bench-distribution: build
	go run ./test/bench/distribution --binary bin/lentilflow

# Measures the slopes of each role and rewrites docs/CAPACITY.md.
capacity: build
	go run ./test/bench/capacity --binary bin/lentilflow

# Prints the figures of the call path: name, value, unit, target, verdict.
bench-path: build
	go run ./test/pathbench

clean:
	rm -rf bin
