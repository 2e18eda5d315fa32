# Front door of the project; `make help` lists the targets.

GOLANGCI_LINT_VERSION := v2.15.0
GOLANGCI_LINT := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)
GOPLS_VERSION := v0.23.0
GOPLS := go run golang.org/x/tools/gopls@$(GOPLS_VERSION)
BIN := bin

.PHONY: help build test unit lint fmt rename soak try try-faults path-cost bench isolation capacity clean

help:
	@echo "make build     build bin/clementinepier and bin/standin"
	@echo "make test      formatter, linter and all tests"
	@echo "make rename    rename an identifier and every use of it: AT=file.go:LINE:COLUMN TO=NewName"
	@echo "make try       whole system as separate processes on loopback, with failures"
	@echo "make soak      random faults on real processes of clementinepier front"
	@echo "make path-cost time that the system adds to one short request"
	@echo "make bench     seeded experiments on the decision code"
	@echo "make capacity  slopes behind docs/CAPACITY.md, in about 2.5 minutes"

build:
	go build -o $(BIN)/clementinepier .
	go build -o $(BIN)/standin ./standin

# lint includes the formatter check (gofumpt, gci).
lint:
	$(GOLANGCI_LINT) run ./...

fmt:
	$(GOLANGCI_LINT) fmt ./...

# AT is the position of the identifier, TO its new name. Uses in tests and in other packages follow; comments do not.
rename:
	$(GOPLS) rename -w $(AT) $(TO)

# unit passes over the tests that KNOWN-RED.txt lists, and prints them.
unit:
	bash scripts/unit.sh

test: lint build unit

try: build
	bash scripts/try.sh

# try-faults adds store outages and a frozen entry VM to try.
try-faults: build
	STORE_FAULTS=1 bash scripts/try.sh

# PROFILE=1 also writes a processor profile of each entry VM, from a build that serves profiles on loopback.
path-cost: build
	bash scripts/path-cost.sh

bench:
	go run ./bench

# isolation prints what the freshness windows give up when a region is cut off.
isolation:
	go run ./bench --isolation

# soak plays random faults on real processes; SOAK_FIRST and SOAK_SEEDS choose the seeds. A seed takes 50 to 90 seconds.
# SOAK_FLAGS may have "-soak-vms 40 -soak-workers 200" or "-soak-binary FILE".
SOAK_FIRST := 1
SOAK_SEEDS := 50
SOAK_FLAGS :=
soak:
	go test ./platform -run Soak -v -count=1 -timeout 120m -soak-first $(SOAK_FIRST) -soak-seeds $(SOAK_SEEDS) $(SOAK_FLAGS)

capacity: build
	go run ./bench -capacity
	bash scripts/capacity.sh

clean:
	rm -rf $(BIN)
