BUILD ?= build
JOBS ?= $(shell nproc)

SECONDS ?= 60

.PHONY: all deps build check check-sanitized demo proof soak bench capacity fuzz \
	format format-check lint generate generate-check clean

all: build

deps:
	sh scripts/install-deps.sh

build: deps
	cmake -S . -B $(BUILD) $(CMAKE_FLAGS) >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

check: build
	sh test/run.sh $(BUILD)

# Also the test programs under sanitizers, in one count.
check-sanitized: build
	$(MAKE) --no-print-directory build BUILD=build-san \
	  CMAKE_FLAGS=-DTREFOILSPAR_SANITIZE=ON
	sh test/run.sh $(BUILD) build-san

fuzz: deps
	cmake -S . -B build-fuzz -DCMAKE_C_COMPILER=clang \
	  -DTREFOILSPAR_FUZZ=ON >/dev/null
	cmake --build build-fuzz -j $(JOBS) --target fuzz-targets
	bash test/fuzz.sh build-fuzz --seconds $(SECONDS)

# The tables of docs/CAPACITY.md; about two minutes.
capacity: build
	bash test/capacity.sh $(BUILD)

demo: build
	bash test/demo.sh $(BUILD)

# Fifty soaks with fresh seeds; about six minutes.
soak: build
	bash test/soak.sh $(BUILD)

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
