#ifndef WATCHER_RIG_H
#define WATCHER_RIG_H

/*
 * watcher_rig - a balancer that reads a stand-in of the store
 *
 * Runs the watcher with the fleet adapter on a loop of its own, in real time.
 */

#include "fleet_store.h"
#include "relay_balancer.h"
#include "relay_rig.h"
#include "store_stand_in.h"

#define ROUTES_V(n)                                                            \
	"{\"version\":" #n ",\"routes\":[{\"name\":\"r\",\"host\":"            \
	"\"198.18.0.1\",\"prefix\":\"/443/\",\"route_type\":\"safe\","         \
	"\"service\":\"feeds\"}],\"services\":[]}"
#define TARGET(ip)                                                             \
	"{\"service\":\"feeds\",\"address\":\"" ip ":80\",\"zone\":\"z\","     \
	"\"version\":\"v1\",\"slots\":2,\"state\":\"ready\","                  \
	"\"warmup_left_ms\":0,\"seq\":1,\"born\":1700000000000}"

typedef struct watcher_rig {
	uv_loop_t loop;
	uv_timer_t timer;
	uint32_t silence_ms, apply_ms;
	endpoint_t store_address;
	fake_store_t *store;
	relay_rig_t *balancer;
	counters_t counters;
	relay_watcher_ctx_t ctx;
	watcher_t *watcher;
	store_revision_t known; /* at the start of the watcher */
	uint64_t read_ms;	/* what was written by then is applied */
	unsigned refused;	/* items that the adapter refused */
} watcher_rig_t;

/* Opens a store with routes of version 3 and the target "a" at 10.1.0.1. The
 * times are those of watcher_new(). Freed with wr_close(). */
watcher_rig_t *wr_open(uint32_t silence_ms, uint32_t apply_ms);
void wr_start(watcher_rig_t *r);
void wr_close(watcher_rig_t *r);

/* Runs the loop for ms; the directory's times pass. */
void wr_run(watcher_rig_t *r, uint64_t ms);

directory_t *wr_directory(watcher_rig_t *r);
/* State of a target in the directory; ENTRY_GONE for an unknown one. */
entry_state_t wr_state(watcher_rig_t *r, const char *id);
unsigned wr_ready_targets(watcher_rig_t *r);
/* Version of the routes in force. */
uint64_t wr_version(watcher_rig_t *r);

/* Puts the entry of a target of "feeds" at an IP address, as the write of a
 * number by the target that started at started_ms. */
void wr_put_target(watcher_rig_t *r, const char *id, const char *ip,
		   const char *state, unsigned long long started_ms,
		   unsigned write_number);

#endif
