# The commands of the README. Each installs what is missing, builds, and runs.
.PHONY: all build test lint format bench-proxy bench-control demo soak

BUILD := build/release
JOBS ?= 4

all: build

build:
	scripts/install-deps.sh
	cmake --preset release
	cmake --build --preset release -j $(JOBS)

test: build
	ctest --preset release -j $(JOBS)

lint:
	scripts/lint.sh

format:
	git ls-files '*.h' '*.cpp' | xargs clang-format -i

# Runs the simulator over many seeds; exits with an error at the first broken promise's seed.
SEEDS ?= 1000
SCENARIO ?= everything
soak: build
	$(BUILD)/bin/coursepond-sim --scenario $(SCENARIO) --seeds 1..$(SEEDS) --threads $(JOBS)

demo:
	scripts/demo.sh

# Added latency, throughput and CPU of the data path, and its memory under churn, on loopback.
bench-proxy: build
	$(BUILD)/bin/coursepond-bench-proxy

# Convergence time and control bytes against two baselines; see docs/MEASUREMENTS.md.
bench-control: build
	$(BUILD)/bin/coursepond-bench-control
