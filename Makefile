# `make demo` and `make test` do all set-up on a fresh machine.
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
	ctest --test-dir $(BUILD) --output-on-failure -j3

format:
	git ls-files '*.h' '*.cc' | xargs clang-format -i
