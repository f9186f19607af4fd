CONFIG ?= examples/config.json

.PHONY: build test lint run toy wrap

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test ./...

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go vet ./...

run: build
	EDGE_CONFIG=$(CONFIG) exec bin/moleshift

toy:
	EDGE_CONFIG=$(CONFIG) go run ./examples/toy

# Long lines are wrapped by a tool; comments are not its matter.
wrap:
	go run github.com/segmentio/golines@v0.13.0 -m 110 -t 4 --no-reformat-tags --base-formatter=gofmt -w .
