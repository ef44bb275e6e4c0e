# `make demo`, `make test` and `make bench` do all set-up on a fresh machine.
BUILD := build
JOBS := 6

.PHONY: demo test build deps bench format

deps:
	./tools/install_deps.sh

build: deps
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	ninja -C $(BUILD) -j$(JOBS)

demo: build
	./tools/demo.sh

test: build
	ctest --test-dir $(BUILD) --output-on-failure --timeout 600 -j3

# Decisions against their rivals, slopes by microbenchmarks, and the costs of real processes against a bare reply.
bench: build
	$(BUILD)/bench/decisions
	$(BUILD)/bench/micro_benchmarks --benchmark_min_time=0.2
	$(BUILD)/bench/process_costs

format:
	git ls-files '*.h' '*.cc' | xargs clang-format -i
