# cherviltray

CC = gcc
CXX = g++
BUILD = build
PACKAGES = libuv libprotobuf-c glib-2.0 libsodium libcurl libxxhash json-c
CPPFLAGS = -Isrc -Iplatform $(shell pkg-config --cflags $(PACKAGES)) $(EXTRA_CPPFLAGS)
# Programs below target/ are deployed; all other builds have the switches of
# src/relay_mechanism.h.
ifneq ($(BUILD),target)
CPPFLAGS += -DTEST_BUILD
endif
WARNINGS = -Wall -Wextra -Wshadow -Wpointer-arith -Wcast-qual -Wundef \
	-Wformat=2 -Werror
C_WARNINGS = $(WARNINGS) -Wstrict-prototypes -Wmissing-prototypes \
	-Wno-cast-qual
CFLAGS = -std=gnu11 -O2 -g $(SANITIZE)
CXXFLAGS = -std=c++17 -O1 -g $(SANITIZE)
LDFLAGS = $(SANITIZE)
LDLIBS = $(shell pkg-config --libs $(PACKAGES)) -lhttp_parser -lstdc++ -lm

# Relay daemons, with the adapter of the platform. They link only the sources
# and libraries that they need, since they run on small hosts.
RELAY_PACKAGES = libuv libprotobuf-c glib-2.0 libxxhash json-c
RELAY_SRC = $(wildcard src/relay*.c src/http_*.c platform/*.c) \
	src/counters.c src/directory.c src/early_opens.c \
	src/endpoint.c src/err.c src/evacuation.c src/event_log.c \
	src/flow_index.c src/held_packets.c src/holder_evidence.c src/open_queue.c \
	src/packet.c src/placement.c src/rank.c src/route_history.c \
	src/routes.c src/server_pace.c src/socket_wait.c src/toml_text.c src/udp_socket.c \
	src/warmup_limit.c src/watcher.c src/zone_path.c
RELAY_OBJ = $(RELAY_SRC:%.c=$(BUILD)/%.o) $(BUILD)/src/toml_document.o \
	$(BUILD)/src/toml_settings.o
# All libraries but the C library are linked statically: loading them takes two
# thirds of the start, which on a host with 0.03 of a core is 60 ms of a return
# from a power loss.
ifeq ($(SANITIZE),)
RELAY_LIBS = -Wl,-Bstatic -l:libuv_a.a -lprotobuf-c -lglib-2.0 -lpcre2-8 \
	-lxxhash -ljson-c -lhttp_parser -lstdc++ -Wl,-Bdynamic -lm
RELAY_LDFLAGS = -no-pie -static-libgcc
else
RELAY_LIBS = $(shell pkg-config --libs $(RELAY_PACKAGES)) -lhttp_parser \
	-lstdc++ -lm
endif

# Sources of the library: all except those of single programs.
PROGRAM_SRC = $(wildcard src/*_main.c src/*_daemon.c src/cli_*.c)
LIB_SRC = $(filter-out $(PROGRAM_SRC),$(wildcard src/*.c))
LIB_OBJ = $(LIB_SRC:%.c=$(BUILD)/%.o) \
	$(patsubst %.cc,$(BUILD)/%.o,$(wildcard src/*.cc)) \
	$(patsubst %.c,$(BUILD)/%.o,$(wildcard platform/*.c))
CLI_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard src/cli_*.c))

PROGRAMS = $(BUILD)/cherviltray-balancer $(BUILD)/cherviltray-agent \
	$(BUILD)/cherviltray
RELAY = $(BUILD)/cherviltray-relay
FAKES = $(patsubst test/%.c,$(BUILD)/%,$(wildcard test/fake_*.c))
TESTS = $(patsubst test/%.c,$(BUILD)/%,$(wildcard test/test_*.c))
BENCHES = $(BUILD)/relay $(patsubst bench/%.c,$(BUILD)/%,\
	$(wildcard bench/bench_*.c))

all: $(PROGRAMS) $(RELAY)

everything: $(PROGRAMS) $(RELAY) $(FAKES) $(TESTS) $(BENCHES) $(BUILD)/demo

$(RELAY_OBJ): PACKAGES = $(RELAY_PACKAGES)
# The linker drops the reader of the other programs' settings.
$(BUILD)/src/toml_settings.o: CXXFLAGS += -ffunction-sections

$(BUILD)/cherviltray-relay: $(RELAY_OBJ)
	@echo LD $@
	@$(CC) $(LDFLAGS) $(RELAY_LDFLAGS) -Wl,--gc-sections -o $@ \
		$(filter %.o,$^) $(RELAY_LIBS)

$(BUILD)/src/%.pb-c.o: C_WARNINGS = -Wno-error

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@echo CC $<
	@$(CC) $(CPPFLAGS) $(CFLAGS) $(C_WARNINGS) -MMD -MP -c -o $@ $<

$(BUILD)/%.o: %.cc
	@mkdir -p $(@D)
	@echo CXX $<
	@$(CXX) $(CPPFLAGS) $(CXXFLAGS) $(WARNINGS) -MMD -MP -c -o $@ $<

$(BUILD)/libcherviltray.a: $(LIB_OBJ)
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/cherviltray-balancer: $(BUILD)/src/balancer_main.o
$(BUILD)/cherviltray-agent: $(BUILD)/src/agent_main.o
$(BUILD)/cherviltray: $(CLI_OBJ)
$(FAKES): $(BUILD)/%: $(BUILD)/test/%.o
# Shared by benches and tests: the simulation, the model of a backend server,
# the naive version, and the harness that starts real processes.
BENCH_SHARED = $(filter-out bench/bench_% bench/relay.c,$(wildcard bench/*.c))
BENCH_OBJ = $(BENCH_SHARED:%.c=$(BUILD)/%.o)
# Shared by the tests only.
TEST_SHARED = $(filter-out test/test_% test/fake_% test/demo.c,\
	$(wildcard test/*.c))
TEST_OBJ = $(TEST_SHARED:%.c=$(BUILD)/%.o) $(BENCH_OBJ)
$(TESTS): $(BUILD)/%: $(BUILD)/test/%.o $(TEST_OBJ)
$(BUILD)/fake_server: $(BUILD)/bench/app_server.o
$(TESTS): LDLIBS += $(shell pkg-config --libs check)
$(BENCHES): $(BUILD)/%: $(BUILD)/bench/%.o $(BENCH_OBJ)
$(BUILD)/demo: $(BUILD)/test/demo.o $(BENCH_OBJ)

$(PROGRAMS) $(FAKES) $(TESTS) $(BENCHES) $(BUILD)/demo: \
	$(BUILD)/libcherviltray.a
	@echo LD $@
	@$(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) $(BUILD)/libcherviltray.a \
		$(LDLIBS)

# Runs the whole system on loopback, with failures.
demo:
	$(MAKE) packages
	$(MAKE) $(PROGRAMS) $(FAKES) $(BUILD)/demo
	$(BUILD)/demo

packages:
	test/install_packages

# Checks format, lint, manual pages, docs/PROOF.md and the numbers on the wire,
# then runs short soaks, of an upgrade too, and all tests.
check:
	$(MAKE) packages
	$(MAKE) check-format
	$(MAKE) check-lint
	$(MAKE) check-man
	$(MAKE) check-proof
	$(MAKE) check-numbers
	$(MAKE) check-upgrade
	$(MAKE) check-soak
	$(MAKE) check-tests

C_FILES = $(filter-out %.pb-c.c %.pb-c.h,$(wildcard src/*.[ch] src/*.cc \
	platform/*.[ch] \
	test/*.[ch] bench/*.[ch]))

check-format:
	clang-format --dry-run -Werror $(C_FILES)

LINT_STAMPS = $(patsubst %.c,$(BUILD)/lint/%.stamp,$(filter %.c,$(C_FILES)))

$(BUILD)/lint/%.stamp: %.c .clang-tidy $(filter %.h,$(C_FILES))
	@mkdir -p $(@D)
	@echo LINT $<
	@clang-tidy --quiet $< -- $(CPPFLAGS) -std=gnu11 2>$@.log \
		|| { cat $@.log; exit 1; }
	@touch $@

check-lint: $(LINT_STAMPS)

check-man:
	@for page in $(wildcard man/*.[1-8]); do \
		mandoc -Tlint -W warning $$page || exit 1; done

# Checks that docs/PROOF.md is complete and names only tests that exist.
check-proof:
	test/check_proof

# Checks that messages keep the meaning of their numbers.
check-numbers:
	test/check_numbers

# Checks the build in service and this one with each other's settings, then runs
# a short soak in which one replaces the other.
check-upgrade: $(BUILD)/cherviltray-relay
	test/check_upgrade $(BUILD)/cherviltray-relay

# The tests run from a second build with both sanitizers.
SANITIZED = $(patsubst test/%.c,build/sanitized/%,$(wildcard test/test_*.c))
SANITIZE_FLAGS = -fsanitize=address,undefined -fno-sanitize-recover=all

check-tests:
	$(MAKE) everything
	$(MAKE) BUILD=build/sanitized SANITIZE="$(SANITIZE_FLAGS)" everything
	test/run_tests

# Runs cherviltray-relay under random faults. test/soak_seeds lists all seeds
# that ever failed, with the cause.
SEEDS = $(shell seq 1 50)
SOAK_S = 12
SOAK_JOBS = 4
SOAK_KEPT = $(shell sed -n 's/^\([0-9][0-9]*\).*/\1/p' test/soak_seeds)

# OLD=PROGRAM replaces that build, one process after the other, during each run.
soak: $(BUILD)/cherviltray-relay
	SOAK_OPTIONS="$(if $(OLD),--old $(OLD))" test/run_soak \
		$(BUILD)/cherviltray-relay $(SOAK_S) $(SOAK_JOBS) $(SEEDS)

# The same with processes that are stopped and run again, for longer.
soak-wake: $(BUILD)/cherviltray-relay
	SOAK=test/soak_wake.py HOSTS=15 test/run_soak \
		$(BUILD)/cherviltray-relay 40 $(SOAK_JOBS) $(SEEDS)

# Runs a short soak of the sanitized build with fixed seeds.
check-soak:
	$(MAKE) BUILD=build/sanitized SANITIZE="$(SANITIZE_FLAGS)" \
		build/sanitized/cherviltray-relay
	test/run_soak build/sanitized/cherviltray-relay 8 2 1 2 $(SOAK_KEPT)
	SOAK_OPTIONS="--faults term,hup,routes,drain --all-served" \
		test/run_soak build/sanitized/cherviltray-relay 8 2 3 4
	SOAK=test/soak_wake.py test/run_soak \
		build/sanitized/cherviltray-relay 8 2 1 2

# Benches, which write one JSON object per line, and the report made from them.
SEED = 1
GROUP_SIZES = 4 11 50 200

bench-policy: $(BUILD)/bench_policy
	@mkdir -p report/bench
	bench/run_policy report/bench/policy.json $(SEED)

bench-membership: $(BUILD)/bench_membership
	@mkdir -p report/bench
	for n in $(GROUP_SIZES); do $(BUILD)/bench_membership $$n $(SEED); \
		done >report/bench/membership.json

bench-matrix: $(BUILD)/test_matrix
	@mkdir -p report/bench
	-$(BUILD)/test_matrix >report/bench/matrix.txt
	bench/matrix_json <report/bench/matrix.txt >report/bench/matrix.json

report:
	bench/report.py report

format:
	clang-format -i $(C_FILES)

# Runs all benches; their figures are written to report/bench/.
bench: everything
	@mkdir -p report/bench
	$(BUILD)/bench_decision
	$(BUILD)/bench_config >report/bench/config.json
	$(BUILD)/bench_forward
	$(BUILD)/bench_control report/bench/control.json
	$(MAKE) bench-membership bench-policy bench-matrix

# Updates the tables of docs/CAPACITY.md from the figures of one run.
MEASURED = control membership decision forward config

capacity:
	for name in $(MEASURED); do \
		cp report/bench/$$name.json docs/measured/; done
	bench/capacity.py docs/measured docs/CAPACITY.md

proto:
	protoc-c --proto_path=proto --c_out=src proto/cherviltray.proto \
		proto/relay.proto

clean:
	rm -rf $(BUILD)

.PHONY: bench capacity bench-policy bench-membership bench-matrix report
.PHONY: soak soak-wake check-soak check-numbers check-upgrade demo all everything packages check check-format check-lint check-man \
	check-proof check-tests format proto clean
.SECONDARY:

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
