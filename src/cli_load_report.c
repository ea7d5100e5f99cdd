#include "cli_load.h"
#include <stdio.h>

static const unsigned percentiles[] = { 50, 90, 99 };

/*
 * Outcomes that count as broken: the request may have run, but the caller got
 * no correct response. After "not run" and BUSY it has not run.
 */
static const outcome_t broken_outcomes[] = { OUTCOME_UNKNOWN, OUTCOME_RESET,
					     OUTCOME_TIMEOUT, OUTCOME_CORRUPT };

static int compare_u32(const void *a, const void *b);
static uint32_t percentile(const GArray *sorted, unsigned percent);
static uint64_t count_ended(const load_job_t *j);
static uint64_t count_broken(const load_job_t *j);
static void print_table(const load_t *l);
static void print_job_json(const load_job_t *j);
static void print_json(const load_t *l);

static int compare_u32(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

static uint32_t percentile(const GArray *sorted, unsigned percent)
{
	if (!sorted->len)
		return 0;
	return g_array_index(sorted, uint32_t,
			     (uint64_t)(sorted->len - 1) * percent / 100);
}

static uint64_t count_ended(const load_job_t *j)
{
	uint64_t n = 0;

	for (int o = 0; o < OUTCOMES; o++)
		n += j->outcomes[o];
	return n;
}

/* Flows with a broken outcome, and flows that have not ended. */
static uint64_t count_broken(const load_job_t *j)
{
	uint64_t n = j->opened - count_ended(j);

	for (size_t i = 0; i < G_N_ELEMENTS(broken_outcomes); i++)
		n += j->outcomes[broken_outcomes[i]];
	return n;
}

void load_print_progress(load_t *l, uint64_t now)
{
	uint64_t opened = 0, ended = 0, broken = 0;

	if (l->quiet || now < l->next_progress_ms)
		return;
	l->next_progress_ms = now + LOAD_MS_PER_SECOND;
	for (size_t i = 0; i < l->njobs; i++) {
		const load_job_t *j = &l->jobs[i];

		opened += j->opened;
		ended += count_ended(j);
		broken += count_broken(j) - (j->opened - count_ended(j));
	}
	fprintf(stderr,
		"%5.1f s: %llu opened, %llu ended, %llu broken, %zu open\n",
		(double)(now - l->started_ms) / LOAD_MS_PER_SECOND,
		(unsigned long long)opened, (unsigned long long)ended,
		(unsigned long long)broken, caller_open_count(l->caller));
}

static void print_table(const load_t *l)
{
	const load_balance_t *b;
	size_t n;

	printf("%-9s %7s %7s %7s", "kind", "opened", "broken", "doubled");
	for (int o = 0; o < OUTCOMES; o++)
		printf(" %15s", outcome_name((outcome_t)o));
	printf(" %6s %6s %6s %6s %8s\n", "open", "p50ms", "p90ms", "p99ms",
	       "gapms");
	for (size_t i = 0; i < l->njobs; i++) {
		const load_job_t *j = &l->jobs[i];

		printf("%-9s %7llu %7llu %7llu", j->name,
		       (unsigned long long)j->opened,
		       (unsigned long long)count_broken(j),
		       (unsigned long long)j->duplicates);
		for (int o = 0; o < OUTCOMES; o++)
			printf(" %15llu", (unsigned long long)j->outcomes[o]);
		printf(" %6llu",
		       (unsigned long long)(j->opened - count_ended(j)));
		for (size_t p = 0; p < G_N_ELEMENTS(percentiles); p++)
			printf(" %6u", percentile(j->latency, percentiles[p]));
		printf(" %8llu\n", (unsigned long long)j->greatest_gap_ms);
	}
	b = balance_sampler_results(l->sampler, &n);
	for (size_t i = 0; i < n; i++)
		printf("%s: utilisation over the mean: highest %.3f (worst "
		       "sample %.3f), lowest %.3f, %u samples\n",
		       b[i].service->name, b[i].max_ratio_sum / b[i].samples,
		       b[i].max_ratio, b[i].min_ratio_sum / b[i].samples,
		       b[i].samples);
}

static void print_job_json(const load_job_t *j)
{
	printf("{\"kind\":\"%s\",\"service\":\"%s\",\"opened\":%llu,"
	       "\"unopened\":%llu,\"broken\":%llu,\"doubled\":%llu,"
	       "\"open\":%llu,\"greatest_gap_ms\":%llu,\"outcomes\":{",
	       j->name, j->service, (unsigned long long)j->opened,
	       (unsigned long long)j->unopened,
	       (unsigned long long)count_broken(j),
	       (unsigned long long)j->duplicates,
	       (unsigned long long)(j->opened - count_ended(j)),
	       (unsigned long long)j->greatest_gap_ms);
	for (int o = 0; o < OUTCOMES; o++)
		printf("%s\"%s\":%llu", o ? "," : "",
		       outcome_name((outcome_t)o),
		       (unsigned long long)j->outcomes[o]);
	printf("},\"latency_ms\":{");
	for (size_t p = 0; p < G_N_ELEMENTS(percentiles); p++)
		printf("%s\"p%u\":%u", p ? "," : "", percentiles[p],
		       percentile(j->latency, percentiles[p]));
	printf("}}");
}

static void print_json(const load_t *l)
{
	const load_balance_t *b;
	size_t n;

	printf("{\"jobs\":[");
	for (size_t i = 0; i < l->njobs; i++) {
		printf("%s", i ? "," : "");
		print_job_json(&l->jobs[i]);
	}
	printf("],\"balance\":[");
	b = balance_sampler_results(l->sampler, &n);
	for (size_t i = 0; i < n; i++)
		printf("%s{\"service\":\"%s\",\"samples\":%u,"
		       "\"greatest\":%.4f,\"worst\":%.4f,\"smallest\":%.4f}",
		       i ? "," : "", b[i].service->name, b[i].samples,
		       b[i].max_ratio_sum / b[i].samples, b[i].max_ratio,
		       b[i].min_ratio_sum / b[i].samples);
	printf("]}\n");
}

uint64_t load_print_report(load_t *l, bool json)
{
	uint64_t failed = 0;

	for (size_t i = 0; i < l->njobs; i++) {
		load_job_t *j = &l->jobs[i];

		g_array_sort(j->latency, compare_u32);
		failed += j->opened - j->outcomes[OUTCOME_DONE];
		failed += j->duplicates + j->unopened;
	}
	if (json)
		print_json(l);
	else
		print_table(l);
	return failed;
}
