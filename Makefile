# Build and check sycamorehub. `make check` is what CI runs; `make demo` runs the whole system on loopback.
GO ?= go
TEST_TIMEOUT ?= 20m
export GOFLAGS := -buildvcs=false

# Tests with a known fault, one per line of KNOWN-RED.txt: the line begins with the name of the test.
KNOWN_RED := $(shell sed -n 's/^\(Test[A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|' -)
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$',)

# Packages whose goroutines share state; the others are pure decisions, or are run by the tests of these.
RACE := $(addprefix ./pkg/,claim configsync connpool directory frontend group membership membudget owner peer ring router session teamlimit) ./platform/adapter

.PHONY: build check fmt-check vet lint known-red race test timing demo bench

build:
	$(GO) build -o bin/ ./cmd/...

check: fmt-check vet lint known-red test

fmt-check:
	@out=$$(gofmt -l $$(git ls-files '*.go')); test -z "$$out" || { echo "gofmt would change: $$out"; exit 1; }

vet:
	$(GO) vet ./...

lint:
	$(GO) tool staticcheck ./...

# Prints the tests that are passed over and fails when one of them does not exist.
known-red:
	@sed -n 's/^Test/known red, not run: &/p' KNOWN-RED.txt
	@for t in $(subst |, ,$(KNOWN_RED)); do \
		git grep -q "^func $$t(t \*testing.T)" -- '*_test.go' || { echo "KNOWN-RED.txt names $$t, which does not exist"; exit 1; }; \
	done

race:
	$(GO) test -race -count=1 -p 2 -timeout $(TEST_TIMEOUT) $(SKIP) $(RACE)

# Few packages and tests at a time: the fault tests start many processes. Checks of durations that failed are printed.
test:
	@log=$$(mktemp); SYCAMOREHUB_TIMING_LOG=$$log \
	$(GO) test -count=1 -p 2 -parallel 4 -timeout $(TEST_TIMEOUT) $(SKIP) ./...; rc=$$?; \
	echo "checks of durations that failed, not binding here: $$(wc -l <$$log)"; cat $$log; rm -f $$log; exit $$rc

# The tests with real processes, with bounds on durations and on service: for a machine with nothing else to do.
timing:
	SYCAMOREHUB_TIMING=1 $(GO) test -count=1 -p 1 -parallel 2 -timeout 60m $(SKIP) ./test/fault ./test/differential

demo:
	$(GO) run ./cmd/sycamorehub-demo

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...
