# Two commands for newcomers: `make demo` and `make test`. The rest is for
# developers; CONTRIBUTING.md says when.

BUILD ?= build
DEPLOYMENT ?= baterija-najam
# Second number of the loopback addresses; fleets ten apart run side by side.
NETWORK ?= 1
SOURCES = $(shell git ls-files --cached --others --exclude-standard \
	'*.cpp' '*.hpp' | grep -v '\.pb\.')

.PHONY: all deps configure build demo capacity scenarios chaos soak soak-stops \
	bench-requests bench-weights bench-control test lint lint-changed \
	format tidy proto \
	test-sanitize test-thread test-known-red

all: build

deps:
	@tools/install-deps

configure: deps
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=Release \
	    --log-level=WARNING

build: configure
	@cmake --build $(BUILD)

demo: build
	@$(BUILD)/bin/foxtailvale-scenario --programs $(BUILD)/bin \
	    --work $(BUILD)/demo --network $(NETWORK) demo examples/$(DEPLOYMENT)/deployment.json

# What control costs by the number of agents; about three minutes.
bench-control: build
	@for agents in 50 100 200; do $(BUILD)/bin/foxtailvale-scenario \
	    --programs $(BUILD)/bin --work $(BUILD)/bench-control \
	    --network $(NETWORK) --entries 8 --agents $$agents bench-control \
	    || exit 1; done

# Measures how things grow with the fleet and rewrites docs/CAPACITY.md's
# tables; about two minutes.
capacity: build
	@$(BUILD)/bin/foxtailvale-capacity --programs $(BUILD)/bin \
	    --work $(BUILD)/capacity --network $(NETWORK)

# About a minute and a half; the table goes to the build folder.
bench-requests: build
	@$(BUILD)/bin/foxtailvale-bench-requests --programs $(BUILD)/bin \
	    --work $(BUILD)/bench-requests --network $(NETWORK) \
	    --page $(BUILD)/bench-requests.md

# All scenarios against real processes, one after the other; about ten minutes.
# Those that KNOWN-RED.txt lists may fail.
scenarios: build
	@failed=; for file in scenarios/*.json; do \
	    log=$(BUILD)/scenario-$$(basename $$file .json).out; \
	    if $(BUILD)/bin/foxtailvale-scenario --programs $(BUILD)/bin \
	        --work $(BUILD)/scenario --network $(NETWORK) run $$file > $$log 2>&1; \
	    then echo "held    $$file"; \
	    elif grep -q "^$$file," KNOWN-RED.txt 2>/dev/null; \
	    then echo "known   $$file"; grep "^$$file," KNOWN-RED.txt; \
	    else echo "FAILED  $$file"; cat $$log; failed="$$failed $$file"; fi; \
	done; [ -z "$$failed" ] || { echo "failed:$$failed"; exit 1; }

# Random faults: one seed after the other, from SEED on, for SECONDS.
SEED ?= 1
SECONDS ?= 60
chaos: build
	@$(BUILD)/bin/foxtailvale-scenario --programs $(BUILD)/bin \
	    --work $(BUILD)/chaos --network $(NETWORK) --seed $(SEED) \
	    --seconds $(SECONDS) chaos scenarios/deployments/two-domains.json

# Real entries against endpoints, callers and signals that misbehave: SEEDS seeds
# from SEED on.
SEEDS ?= 50
soak: build
	@$(BUILD)/bin/foxtailvale-soak --entry $(BUILD)/bin/foxtailvale-entry \
	    --work $(BUILD)/soak-long --seed $(SEED) --seeds $(SEEDS)

# Real entries that serve streams while some of them are stopped as planned.
soak-stops: build
	@$(BUILD)/bin/foxtailvale-soak --entry $(BUILD)/bin/foxtailvale-entry \
	    --work $(BUILD)/soak-stops --plan stops --seed $(SEED) --seeds $(SEEDS)

bench-weights: build
	@$(BUILD)/bin/foxtailvale-bench-weights --programs $(BUILD)/bin \
	    --work $(BUILD)/bench-weights --network $(NETWORK) \
	    --csv docs/measurements/weights.csv
	@gnuplot benchmarks/weights/plot.gnuplot

# Each test program has loopback addresses of its own.
test: build
	@ctest --test-dir $(BUILD) --output-on-failure --no-tests=error \
	    -j 3 -LE known_red

# Faults that KNOWN-RED.txt lists. Says which of them still fail; one that passes
# is to be moved to the other tests.
test-known-red: build
	@ctest --test-dir $(BUILD) --output-on-failure -L known_red || \
	    echo "known red, passed over: see KNOWN-RED.txt"

# Address and undefined behaviour; asserts are on.
test-sanitize: deps
	@cmake -S . -B $(BUILD)-sanitize -G Ninja -DCMAKE_BUILD_TYPE=Debug \
	    -DFOXTAILVALE_SANITIZE=address,undefined --log-level=WARNING
	@cmake --build $(BUILD)-sanitize
	@ctest --test-dir $(BUILD)-sanitize --output-on-failure --no-tests=error \
	    -LE known_red

# Data races where there are threads.
test-thread: deps
	@cmake -S . -B $(BUILD)-thread -G Ninja -DCMAKE_BUILD_TYPE=Debug \
	    -DFOXTAILVALE_SANITIZE=thread --log-level=WARNING
	@cmake --build $(BUILD)-thread --target base_tests http_tests \
	    node_tests
	@ctest --test-dir $(BUILD)-thread -R '(base|http|node)_tests' \
	    --output-on-failure \
	    --no-tests=error

lint: configure
	@clang-format --dry-run --Werror $(SOURCES)
	@cmake --build $(BUILD) --target wire
	@run-clang-tidy -quiet -p $(BUILD) \
	    -extra-arg=-Wno-unknown-warning-option '^(?!.*\.pb\.)' > $(BUILD)/tidy.log \
	    2>$(BUILD)/tidy.err || { grep -E 'error|warning' $(BUILD)/tidy.log; \
	    exit 1; }
	@echo "lint: clean"

# The linter on the sources that differ from BASE only.
BASE ?= main
lint-changed: configure
	@clang-format --dry-run --Werror $(SOURCES)
	@files=$$(git diff --name-only --diff-filter=d $(BASE) -- '*.cpp' \
	    | grep -v '\.pb\.'); [ -z "$$files" ] || \
	    echo $$files | xargs -n 1 -P 4 clang-tidy --quiet -p $(BUILD) \
	    --extra-arg=-Wno-unknown-warning-option
	@echo "lint-changed: clean"

format:
	@clang-format -i $(SOURCES)

# Renews the committed code that protoc makes.
proto: deps
	@protoc --proto_path=proto --cpp_out=proto/generated/proto \
	    proto/foxtailvale.proto
