# Targets for maintainers. `make demo` demonstrates the product.

BIN := bin

.PHONY: build demo test soak measure slopes generate lint

build:
	go build -o $(BIN)/ . ./standin

demo: build
	go run ./test/demo

test:
	scripts/test

soak:
	scripts/soak

measure: build
	scripts/measure

generate:
	scripts/generate

lint:
	scripts/lint

slopes: build
	go run ./test/slopes
