BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all deps build check demo proof bench format format-check lint generate \
	generate-check clean

all: build

deps:
	sh scripts/install-deps.sh

build: deps
	cmake -S . -B $(BUILD) $(CMAKE_FLAGS) >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

check: build
	sh test/run.sh $(BUILD)

demo: build
	bash test/demo.sh $(BUILD)

proof: build
	bash test/proof.sh $(BUILD) $(PROOF_FLAGS)

bench: build
	bash test/bench-fleet.sh $(BUILD) $(BENCH_FLAGS)

format:
	sh scripts/format.sh -i

format-check:
	sh scripts/format.sh --dry-run --Werror

lint: build
	sh scripts/lint.sh $(BUILD) $(JOBS)

generate:
	sh scripts/generate.sh src

generate-check:
	sh scripts/generate-check.sh

clean:
	rm -rf $(BUILD)
