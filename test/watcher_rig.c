#include "watcher_rig.h"
#include <check.h>
#include <stdlib.h>

/* Interval between calls of directory_tick(). */
#define TICK_MS 50

static void sink_routes(void *ctx, route_table_t *routes)
{
	watcher_rig_t *r = ctx;

	relay_balancer_set_routes(r->balancer->balancer, routes);
}

static void sink_refused(void *ctx, const char *key, const err_t *err)
{
	watcher_rig_t *r = ctx;

	(void)key;
	(void)err;
	r->refused++;
}

directory_t *wr_directory(watcher_rig_t *r)
{
	return relay_balancer_directory(r->balancer->balancer);
}

static directory_t *sink_directory(void *ctx)
{
	watcher_rig_t *r = ctx;

	return relay_balancer_directory(r->balancer->balancer);
}

static evacuations_t *sink_evacuations(void *ctx)
{
	watcher_rig_t *r = ctx;

	return relay_balancer_evacuations(r->balancer->balancer);
}

static uint64_t sink_now(void *ctx)
{
	watcher_rig_t *r = ctx;

	return uv_now(&r->loop);
}

static void sink_read(void *ctx, uint64_t asked_ms)
{
	watcher_rig_t *r = ctx;

	r->read_ms = asked_ms;
}

static void sink_reachable(void *ctx, bool yes)
{
	watcher_rig_t *r = ctx;

	if (yes)
		directory_store_reachable(sink_directory(r), uv_now(&r->loop));
	else
		directory_store_unreachable(sink_directory(r),
					    uv_now(&r->loop));
}

static void on_timer(uv_timer_t *timer)
{
	uv_stop(timer->loop);
}

void wr_run(watcher_rig_t *r, uint64_t ms)
{
	uint64_t end;

	uv_update_time(&r->loop);
	end = uv_now(&r->loop) + ms;
	while (uv_now(&r->loop) < end) {
		uint64_t left_ms = end - uv_now(&r->loop);

		uv_timer_start(&r->timer, on_timer,
			       left_ms < TICK_MS ? left_ms : TICK_MS, 0);
		uv_run(&r->loop, UV_RUN_DEFAULT);
		directory_tick(wr_directory(r), uv_now(&r->loop));
	}
}

watcher_rig_t *wr_open(uint32_t silence_ms, uint32_t apply_ms)
{
	static const relay_sink_t sink = { sink_routes,	   sink_refused,
					   sink_directory, sink_evacuations,
					   sink_now,	   sink_read,
					   sink_reachable };
	watcher_rig_t *r = calloc(1, sizeof(*r));

	ck_assert_ptr_nonnull(r);
	uv_loop_init(&r->loop);
	uv_timer_init(&r->loop, &r->timer);
	r->store_address.ip = 0x7f000001;
	r->silence_ms = silence_ms;
	r->apply_ms = apply_ms;
	r->store = fake_store_open(&r->loop, &r->store_address);
	r->balancer = rr_balancer();
	r->ctx.sink = &sink;
	r->ctx.ctx = r;
	fake_store_put(r->store, "op/config", ROUTES_V(3));
	fake_store_put(r->store, "servers/a", TARGET("10.1.0.1"));
	return r;
}

void wr_start(watcher_rig_t *r)
{
	r->watcher = watcher_new(&r->loop, &r->store_address, r->silence_ms,
				 r->apply_ms, r->known, &fleet_watcher_ops,
				 &r->ctx, &r->counters);
}

void wr_close(watcher_rig_t *r)
{
	watcher_free(r->watcher);
	fake_store_close(r->store);
	uv_close((uv_handle_t *)&r->timer, NULL);
	uv_run(&r->loop, UV_RUN_DEFAULT);
	uv_loop_close(&r->loop);
	rr_free(r->balancer);
	free(r);
}

unsigned wr_ready_targets(watcher_rig_t *r)
{
	unsigned n = 0;

	list_each(node, directory_entries(sink_directory(r))) n +=
		list_entry(node, target_entry_t, node)->state == ENTRY_READY;
	return n;
}

uint64_t wr_version(watcher_rig_t *r)
{
	return relay_balancer_route_version(r->balancer->balancer);
}

entry_state_t wr_state(watcher_rig_t *r, const char *id)
{
	const target_entry_t *e = directory_find(wr_directory(r), id);

	return e ? e->state : ENTRY_GONE;
}

void wr_put_target(watcher_rig_t *r, const char *id, const char *ip,
		   const char *state, unsigned long long started_ms,
		   unsigned write_number)
{
	g_autofree char *key = g_strdup_printf("servers/%s", id);
	g_autofree char *value = g_strdup_printf(
		"{\"service\":\"feeds\",\"address\":\"%s:80\",\"zone\":\"z\","
		"\"version\":\"v1\",\"slots\":2,\"state\":\"%s\","
		"\"warmup_left_ms\":0,\"seq\":%u,\"born\":%llu}",
		ip, state, write_number, started_ms);

	fake_store_put(r->store, key, value);
}
