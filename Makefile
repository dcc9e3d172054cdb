# Two commands do all on a fresh machine: make run, make test.
GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod

# Tests for real faults that are not mended yet, the first word of each line. They are
# passed over, and told by CI.
RED = $(shell test -f KNOWN-RED.txt && cut -d' ' -f1 KNOWN-RED.txt | paste -sd'|' -)
PASS_OVER = $(if $(RED),-skip '^($(RED))$$')

.PHONY: run test build lint format bench soak race fuzz generate

run: build
	./bin/graniteknot dev

build:
	$(GO) build -o bin/graniteknot ./cmd/graniteknot

# Results are not taken from the cache: some tests build and run the program, which it does not see.
test:
	$(GO) test -count 1 -p 4 $(PASS_OVER) ./...

race:
	$(GO) test -count 1 -p 4 -timeout 20m -race -short $(PASS_OVER) ./...

lint:
	$(GO) vet ./...
	@out=$$($(TOOL) gofumpt -l cmd internal platform catalog *.go claim expertmap fold limit member planner route settings); \
		if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi
	$(GO) tool -modfile=tools/lint/go.mod golangci-lint run --allow-parallel-runners ./...

format:
	$(TOOL) gofumpt -w $$(git ls-files '*.go' | grep -v -E '(\.pb|\.twirp)\.go$$')

# Times are paired ratios; they are not part of the tests.
bench:
	$(GO) test -p 1 -run '^$$' -bench . -benchmem ./...

# A longer run of the random histories, and of faults on real processes.
soak:
	GRANITEKNOT_SOAK=1 $(GO) test -count 1 -timeout 30m -rapid.checks 50000 ./claim ./fold ./internal/core/relay
	GRANITEKNOT_SOAK_SEEDS=50 GRANITEKNOT_SOAK_SEED=1 $(GO) test -count 1 -timeout 60m -v ./internal/soak

# All fuzz targets in turn; their seeds are part of the tests.
FUZZTIME ?= 60s
fuzz:
	@set -e; for package in $$(grep -rl --include=*_test.go '^func Fuzz' . | xargs -n1 dirname | sort -u); do \
		for target in $$(sed -n 's/^func \(Fuzz[A-Za-z]*\)(.*/\1/p' $$package/*_test.go); do \
			echo "$$package $$target"; \
			$(GO) test -run '^$$' -fuzz "^$$target$$" -fuzztime $(FUZZTIME) $$package; \
		done; \
	done

# Needs protoc, Debian's protobuf-compiler.
generate:
	GOBIN=$(CURDIR)/bin $(GO) install -modfile=tools/go.mod google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
	PATH="$(CURDIR)/bin:$$PATH" $(GO) generate ./internal/wire
