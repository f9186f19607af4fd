CONFIG ?= examples/config.json

.PHONY: build system fleet lab test lint run toy wrap

# As the operators build it: linked against the C library by the C compiler, so that their bench can load a library of its own.
build:
	@command -v "$$(go env CC)" >/dev/null || { echo "a C compiler is needed to link (no $$(go env CC) here): apt-get install gcc libc6-dev" >&2; exit 1; }
	$(shell sed -n 's/^build = "\(.*\)".*$$/\1/p' deploy/balancer.toml)

# The whole system's program, as deploy/system.toml builds it.
system:
	@command -v "$$(go env CC)" >/dev/null || { echo "a C compiler is needed to link (no $$(go env CC) here): apt-get install gcc libc6-dev" >&2; exit 1; }
	$(shell sed -n 's/^build = "\(.*\)".*$$/\1/p' deploy/system.toml)

# Three nodes and a stand-in model server on this machine, and one answer streamed through each.
fleet: system
	go run ./examples/fleet

# A router for `molelab leases --processes`: its clock can be set wrong.
lab:
	go build -tags labclock -o bin/moleshift-lab ./cmd/moleshift

test:
	go test ./...

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go vet ./...
	go tool staticcheck ./cmd/... ./controlplane/... ./dataplane/... ./fault ./internal/... ./lab/... ./peer ./settings ./storage/...

run: build
	EDGE_CONFIG=$(CONFIG) exec bin/moleshift

toy:
	EDGE_CONFIG=$(CONFIG) go run ./examples/toy

# Long lines are wrapped by a tool; comments are not its matter.
wrap:
	go run github.com/segmentio/golines@v0.13.0 -m 110 -t 4 --no-reformat-tags --base-formatter=gofmt -w .
