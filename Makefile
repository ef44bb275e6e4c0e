# `make demo`, `make test` and `make bench` install dependencies and build first, so they work on a fresh machine.
BUILD := build
JOBS := 6

.PHONY: demo test build deps bench format fuzz

deps:
	./tools/install_deps.sh

build: deps
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	ninja -C $(BUILD) -j$(JOBS)

demo: build
	./tools/demo.sh

# Skips known failing tests, listed in KNOWN-RED.txt by the first word of each line, and prints the list.
KNOWN_RED = $(shell awk 'NF {print $$1}' KNOWN-RED.txt | paste -sd'|' -)

test: build
	@cat KNOWN-RED.txt
	ctest --test-dir $(BUILD) --output-on-failure --timeout 600 -j3 -E '^($(KNOWN_RED))$$'

# Policies compared with simple baselines, microbenchmarks, and costs of real processes compared with a server that
# only sends a fixed response.
bench: build
	$(BUILD)/bench/decisions
	$(BUILD)/bench/micro_benchmarks --benchmark_min_time=0.2
	$(BUILD)/bench/process_costs

# Fuzzes the decoders of untrusted input with libFuzzer for one minute, or for SECONDS_OF_FUZZ seconds.
SECONDS_OF_FUZZ := 60
fuzz: deps
	cmake -S . -B $(BUILD)-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=Debug \
		-DCMAKE_CXX_FLAGS_DEBUG="-O1 -g1" -DRAGWORTWINCH_SANITIZE=fuzzer-no-link,address,undefined >/dev/null
	ninja -C $(BUILD)-fuzz -j$(JOBS) outside_input_fuzzer
	mkdir -p $(BUILD)-fuzz/corpus
	$(BUILD)-fuzz/platform/fuzz/outside_input_fuzzer $(BUILD)-fuzz/corpus -max_total_time=$(SECONDS_OF_FUZZ) -timeout=5

format:
	git ls-files '*.h' '*.cc' | xargs clang-format -i
