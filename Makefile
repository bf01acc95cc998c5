# The few commands that a newcomer needs; CMake does the work.
BUILD ?= build
DEPLOYMENT ?= cooperative
JOBS ?= 8

.PHONY: deps build test demo check clean

deps:
	bash scripts/install-dependencies.sh

build: deps
	cmake -S . -B $(BUILD) -G Ninja > /dev/null
	cmake --build $(BUILD) -j $(JOBS)

test: build
	ctest --test-dir $(BUILD) --output-on-failure

demo: build
	$(BUILD)/anisehold-demo $(DEPLOYMENT)

check: deps
	bash scripts/check-style.sh $(BUILD)

clean:
	rm -rf $(BUILD)
