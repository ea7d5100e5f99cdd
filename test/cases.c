#include "cases.h"
#include <stdio.h>
#include <string.h>

#define CASE_SEED	 11
#define OVERLAP_MS	 300 /* both the old and the new balancer are in use */
#define FEED_BYTES	 200
#define FEED_INTERVAL_MS 200

void case_expect(case_run_t *run, bool passed, const char *what, uint64_t got)
{
	if (passed || run->failure[0])
		return;
	snprintf(run->failure, sizeof(run->failure), "%s: %llu", what,
		 (unsigned long long)got);
}

bool case_execute(const case_def_t *c, mechanisms_t off, case_run_t *run)
{
	memset(run, 0, sizeof(*run));
	run->off = off;
	run->seed = CASE_SEED;
	c->fn(run);
	return !run->failure[0];
}

void cases_for_each(void (*visit)(const case_def_t *c, void *ctx), void *ctx)
{
	for (size_t i = 0; i < ncases_change; i++)
		visit(&cases_change[i], ctx);
	for (size_t i = 0; i < ncases_loss; i++)
		visit(&cases_loss[i], ctx);
	for (size_t i = 0; i < ncases_load; i++)
		visit(&cases_load[i], ctx);
}

void case_begin(case_run_t *run, const csim_options_t *options)
{
	csim_options_t o = *options;

	o.seed = run->seed;
	o.off = run->off;
	cell_begin(&run->cell, &o);
}

void case_end(case_run_t *run)
{
	cell_counts_t *n = &run->counts;

	cell_end(&run->cell, n);
	case_expect(run, n->broken == 0, "requests broken", n->broken);
	case_expect(run, n->duplicates == 0, "logs recorded more than once",
		    n->duplicates);
	case_expect(run, n->missing == 0, "answered logs not recorded",
		    n->missing);
	case_expect(run, n->misrouted == 0, "packets or answers misrouted",
		    n->misrouted);
	case_expect(run, n->replayed == 0, "flows with payload delivered twice",
		    n->replayed);
	case_expect(run, n->false_refusals == 0,
		    "requests refused as not run after delivery",
		    n->false_refusals);
	case_expect(run, n->hung == 0, "requests without an end", n->hung);
	case_expect(run, n->lost_without_reason == 0,
		    "lost requests that ended without a reason",
		    n->lost_without_reason);
}

void case_begin_feeds(case_run_t *run, unsigned n, unsigned chunks)
{
	cell_t *c = &run->cell;
	app_request_t feed = { .kind = APP_FEED,
			       .bytes = FEED_BYTES,
			       .chunks = chunks,
			       .interval_ms = FEED_INTERVAL_MS };

	for (unsigned i = 0; i < n; i++) {
		feed.id = 1 + csim_request_count(c->sim);
		csim_begin_request(c->sim, "spot", "feed", &feed);
	}
}

void case_apply_config(case_run_t *run)
{
	cell_t *c = &run->cell;
	char *text;

	c->config.version++;
	text = cell_config_text(&c->config);
	csim_configure_all(c->sim, text);
	g_free(text);
}

void case_replace_balancers(case_run_t *run)
{
	cell_t *c = &run->cell;

	for (unsigned i = 0; i < CSIM_BALANCERS_MAX / 2; i++) {
		if (!csim_is_alive(c->sim, NODE_BALANCER, i))
			continue;
		csim_add_balancer(c->sim);
		cell_run(c, OVERLAP_MS);
		csim_set_in_fabric(c->sim, i, false);
		cell_run(c, OVERLAP_MS);
		csim_kill(c->sim, NODE_BALANCER, i);
	}
}
