.PHONY: all build test race lint fmt generate demo bench capacity ci

TOOLS := $(shell go env GOPATH)/bin

all: build

build:
	go build -o chervilreach .

test:
	go test ./...

race:
	go test -race ./...

lint:
	$(TOOLS)/golangci-lint run ./...

fmt:
	$(TOOLS)/golangci-lint fmt ./...

generate:
	PATH="$(TOOLS):$$PATH" $(TOOLS)/buf generate

demo:
	go run . demo

bench:
	go test -run '^$$' -bench . -benchmem ./...

# The measurements behind docs/CAPACITY.md.
capacity:
	go test ./core/agent ./core/router ./core/place ./core/permit ./core/warm ./core/record ./io/agentd -run '^$$' -bench . -benchmem
	go test ./demo -run '^$$' -bench 'Rate|Chunk' -benchtime 3s
	go test ./faults -run TestKVCalls -v
	go test ./io/accept -run TestInForceEverywhereWithin3s -v

ci:
	bash .ci/run
