#include "cases.h"
#include <stdio.h>
#include <string.h>

#define SEED	      11
#define OVERLAP_MS    300 /* old and new balancer serve side by side */
#define FEED_BYTES    200
#define FEED_EVERY_MS 200

void expect(case_run_t *run, bool holds, const char *what, uint64_t got)
{
	if (holds || run->why[0])
		return;
	snprintf(run->why, sizeof(run->why), "%s: %llu", what,
		 (unsigned long long)got);
}

bool case_play(const named_case_t *c, mechanisms_t off, case_run_t *run)
{
	memset(run, 0, sizeof(*run));
	run->off = off;
	run->seed = SEED;
	c->play(run);
	return !run->why[0];
}

void cases_each(void (*visit)(const named_case_t *c, void *ctx), void *ctx)
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
	expect(run, n->broken == 0, "broken", n->broken);
	expect(run, n->doubled == 0, "doubled", n->doubled);
	expect(run, n->missing == 0, "missing records", n->missing);
	expect(run, n->misrouted == 0, "misrouted", n->misrouted);
	expect(run, n->replayed == 0, "data handed on twice", n->replayed);
	expect(run, n->untrue == 0, "untrue refusals", n->untrue);
	expect(run, n->hung == 0, "hung", n->hung);
	expect(run, n->wordless == 0, "told without a word", n->wordless);
}

void case_feeds(case_run_t *run, unsigned n, unsigned parts)
{
	cell_t *c = &run->cell;
	app_request_t feed = { .kind = APP_FEED,
			       .bytes = FEED_BYTES,
			       .chunks = parts,
			       .interval_ms = FEED_EVERY_MS };

	for (unsigned i = 0; i < n; i++) {
		feed.id = 1 + csim_request_count(c->sim);
		csim_begin_request(c->sim, "spot", "feed", &feed);
	}
}

void case_configure(case_run_t *run)
{
	cell_t *c = &run->cell;
	char *text;

	c->document.version++;
	text = cell_text(&c->document);
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
