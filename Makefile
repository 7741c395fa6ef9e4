# build, test, lint and run; CMake does the work.
CONFIG ?= $(BALANCER_CONFIG)
JOBS ?= 4

.PHONY: build test lint run clean

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j$(JOBS)

test:
	cmake -B build-test -DCMAKE_BUILD_TYPE=Debug -DHERONWELL_TESTS=ON -DHERONWELL_STRICT=ON -DHERONWELL_SANITIZE=ON
	cmake --build build-test -j$(JOBS)
	ctest --test-dir build-test --output-on-failure -j$(JOBS)

lint:
	@lines=$$(grep -c '[^[:space:]]' src/choice.cpp); echo "src/choice.cpp: $$lines non-blank lines"; test $$lines -le 1060
	@! grep -nE '^.{111,}' src/choice.cpp
	find src include tests -name '*.[ch]pp' | xargs clang-format --dry-run --Werror

run: build
	build/bellstair serve --config "$(CONFIG)"

clean:
	rm -rf build build-test build-embed
