# The few commands that a newcomer needs; CMake does the work.
BUILD ?= build
DEPLOYMENT ?= cooperative
JOBS ?= 8

.PHONY: deps build test demo demo-table prove soak soak-seeds check clean

deps:
	bash scripts/install-dependencies.sh

build: deps
	cmake -S . -B $(BUILD) -G Ninja > /dev/null
	cmake --build $(BUILD) -j $(JOBS)

# Unit tests, and the proofs and bad-input tests with real processes. What KNOWN-RED.txt names runs and doesn't count.
test: build
	bash scripts/run-tests.sh $(BUILD)

# The sidecar's whole path on stand-ins of the platform, with faults.
demo: build
	$(BUILD)/anisehold-sidecar_demo

# A whole deployment of `anisehold serve` on stand-ins: DEPLOYMENT=cooperative or brightwater.
demo-table: build
	$(BUILD)/anisehold-table_demo $(DEPLOYMENT)

# The proofs one by one; scripts/prove.sh --without MECHANISM shows that they can fail.
prove: build
	bash scripts/prove.sh --build $(BUILD)

# Fresh random faults against real processes for SOAK_SECONDS; then the seeds that ever failed.
SOAK_SECONDS ?= 120
soak: build
	$(BUILD)/anisehold-soak --seconds $(SOAK_SECONDS)

soak-seeds: build
	$(BUILD)/anisehold-soak --seeds soak/seeds.txt

check: deps
	cmake -S . -B $(BUILD) -G Ninja > /dev/null
	bash scripts/check-style.sh $(BUILD)

clean:
	rm -rf $(BUILD)
