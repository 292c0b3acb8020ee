# Commands of the project; each one installs what it needs. See README.md.
BUILD ?= build
JOBS ?= $(shell nproc)
export CCACHE_SLOPPINESS = pch_defines,time_macros
export CCACHE_NOHASHDIR = 1
export CCACHE_BASEDIR = $(CURDIR)

.PHONY: setup build run check format-check layers lint test measure model replay sanitize format soak soak-check

setup:
	@scripts/install_packages.sh

$(BUILD)/build.ninja: | setup
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo

build: setup $(BUILD)/build.ninja
	cmake --build $(BUILD) -j $(JOBS)
	@ln -sf $(BUILD)/compile_commands.json compile_commands.json

run: build
	scripts/run_demo.sh $(BUILD)

check: setup format-check build layers lint test replay model soak-check

format:
	scripts/sources.sh | xargs clang-format -i

format-check: setup
	scripts/sources.sh | xargs clang-format --dry-run --Werror

lint: build
	scripts/lint.sh $(BUILD) $(JOBS)

layers: build
	scripts/check_layers.sh $(BUILD)

test: build
	scripts/run_tests.sh $(BUILD) $(JOBS)

replay: build
	$(BUILD)/tools/replay traces

model: setup
	scripts/run_model.sh $(BUILD)

measure: build
	scripts/run_measure.sh $(BUILD)

# One seed of the fault soak; `make soak SEED=7 RUNS=50` plays more. Logs of runs that fail are kept.
SEED ?= 1
RUNS ?= 1
soak: build
	$(BUILD)/tools/soak --seed $(SEED) --runs $(RUNS) --logs $(BUILD)/soak

# Short runs of seeds that have failed before, see tests/soak-seeds.txt.
soak-check: build
	scripts/run_soak.sh $(BUILD)

sanitize: setup
	scripts/run_sanitizers.sh $(JOBS)
