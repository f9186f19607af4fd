CONFIG ?= examples/config.json

.PHONY: build test lint run toy

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
