# Versions of the tools for the build and the checks. `make tools` installs them;
# generated code is committed, so only `make generate` needs the first three.
BUF_VERSION = v1.75.0
PROTOC_GEN_GO_VERSION = v1.36.12
PROTOC_GEN_CONNECT_VERSION = v1.21.1
GOLANGCI_VERSION = v2.15.0

GOBIN = $(shell go env GOPATH)/bin
export PATH := $(GOBIN):$(PATH)

.PHONY: build demo demo-site demo-koolitund soak test lint format generate tools linter measure clean

build:
	go build -o bin/ ./cmd/...

# End-to-end demo over loopback: first a deployment of the users' platform, then the
# product's own API; each with simulated services, three entries, the sidecars of the
# endpoints, trainers and callers.
demo: demo-site
	scripts/demo.sh perdana

demo-site: build
	scripts/site.sh

demo-koolitund: build
	scripts/demo.sh koolitund

# Soak test with real processes and injected faults: fifty seeds, about eight minutes.
soak: build
	bin/standin soak --seeds 50

test:
	bash scripts/test.sh

linter:
	@test -x $(GOBIN)/golangci-lint || \
	  go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

lint: linter
	test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); exit 1; }
	golangci-lint run ./...

format:
	gofmt -w $$(git ls-files '*.go')

tools: linter
	go install github.com/bufbuild/buf/cmd/buf@$(BUF_VERSION)
	go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)
	go install connectrpc.com/connect/cmd/protoc-gen-connect-go@$(PROTOC_GEN_CONNECT_VERSION)

generate:
	buf generate

clean:
	rm -rf bin
