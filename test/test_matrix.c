/*
 * test_matrix - faults at the steps of a request, alone and in pairs
 *
 * Runs each fault at each step and each pair of faults at some steps, with the
 * product and with the naive version. The results of the product must be
 * within the limits of the faults; the naive version must break flows.
 *
 * MATRIX_SEEDS sets the number of seeds of a fault alone, and the number of
 * steps of a pair. The table of results is printed, and also written to
 * $REPORT_DIR/bench/matrix.json when REPORT_DIR is set.
 */

#include "matrix.h"
#include "runner.h"
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define SINGLE_SEEDS  2	   /* per step of a fault alone */
#define PAIR_SEEDS    1	   /* steps per pair of faults */
#define FAILURES_MAX  2000 /* bytes of failures that a case lists */
#define CASES_MAX     (2 * MATRIX_FAULTS_MAX)
#define ROW_NAME_SIZE 48

/*
 * One line of the table. A case writes it in its own process, and the parent
 * reads it.
 */
typedef struct row {
	char name[ROW_NAME_SIZE];
	fault_class_t class;
	cell_counts_t product;
	cell_counts_t naive;
} row_t;

static FILE *row_file;
static TTest cases[CASES_MAX];
static char names[CASES_MAX][ROW_NAME_SIZE];

static uint64_t nseeds(uint64_t default_seeds)
{
	const char *text = getenv("MATRIX_SEEDS");

	return text ? strtoull(text, NULL, 10) : default_seeds;
}

/* Runs a cell with both versions and lists violations of the product. */
static void run_both_versions(row_t *row, GString *failures,
			      const fault_t *first, const fault_t *second,
			      const step_t *step, uint64_t seed)
{
	cell_counts_t product = { 0 }, naive = { 0 };
	const char *violation;

	matrix_run_cell(first, second, step, seed, false, 0, &product);
	matrix_run_cell(first, second, step, seed, true, 0, &naive);
	violation = matrix_violation(first, second, &product);
	if (violation && failures->len < FAILURES_MAX)
		g_string_append_printf(failures,
				       "\n  %s%s%s at %s, seed %llu: %s",
				       first->name, second ? " + " : "",
				       second ? second->name : "", step->name,
				       (unsigned long long)seed, violation);
	matrix_add_counts(&row->product, &product);
	matrix_add_counts(&row->naive, &naive);
}

static void finish_row(row_t *row, GString *failures)
{
	fwrite(row, sizeof(*row), 1, row_file);
	fflush(row_file);
	ck_assert_msg(failures->len == 0, "%s", failures->str);
	g_string_free(failures, TRUE);
}

static void run_single(int i)
{
	const fault_t *fault = &matrix_faults[i];
	row_t row = { .class = fault->class };
	GString *failures = g_string_new(NULL);

	g_strlcpy(row.name, fault->name, sizeof(row.name));
	for (size_t s = 0; s < matrix_nsteps; s++)
		for (uint64_t seed = 1; seed <= nseeds(SINGLE_SEEDS); seed++)
			run_both_versions(&row, failures, fault, NULL,
					  &matrix_steps[s], seed);
	finish_row(&row, failures);
}

/* Runs a fault with each fault as the second one, at steps in rotation. */
static void run_pairs(int i)
{
	const fault_t *first = &matrix_faults[i];
	row_t row = { .class = FAULT_PASSING };
	GString *failures = g_string_new(NULL);

	snprintf(row.name, sizeof(row.name), "%s + any", first->name);
	for (size_t j = 0; j < matrix_nfaults; j++)
		for (uint64_t n = 0; n < nseeds(PAIR_SEEDS); n++)
			run_both_versions(
				&row, failures, first, &matrix_faults[j],
				&matrix_steps[(i + j + 5 * n) % matrix_nsteps],
				1 + n);
	finish_row(&row, failures);
}

START_TEST(naive_version_breaks_flows)
{
	cell_counts_t planned = { 0 }, all = { 0 };
	row_t row;

	rewind(row_file);
	while (fread(&row, sizeof(row), 1, row_file) == 1) {
		if (row.class == FAULT_PLANNED)
			matrix_add_counts(&planned, &row.naive);
		matrix_add_counts(&all, &row.naive);
	}
	ck_assert_uint_gt(planned.broken, 0);
	ck_assert_uint_gt(all.broken, planned.broken);
	ck_assert_uint_gt(all.lost_without_reason, 0);
}
END_TEST

static void add_case(TCase *tc, int n, const char *kind, TFun fn, int fault)
{
	snprintf(names[n], ROW_NAME_SIZE, "%s_%s", kind,
		 matrix_faults[fault].name);
	cases[n] = (TTest){ names[n], fn, __FILE__, __LINE__ };
	tcase_add_loop_test(tc, &cases[n], fault, fault + 1);
}

static void print_row(const row_t *r)
{
	const cell_counts_t *p = &r->product, *n = &r->naive;

	printf("%-30s %5llu %6llu %8llu | %3llu %5llu | %3llu %4llu | %3llu "
	       "%3llu | %3llu %3llu | %4llu %5llu | %4llu %4llu %6llu\n",
	       r->name, (unsigned long long)p->cells,
	       (unsigned long long)p->requests, (unsigned long long)p->refused,
	       (unsigned long long)p->broken, (unsigned long long)n->broken,
	       (unsigned long long)p->duplicates,
	       (unsigned long long)n->duplicates,
	       (unsigned long long)p->misrouted,
	       (unsigned long long)n->misrouted,
	       (unsigned long long)p->false_refusals,
	       (unsigned long long)n->false_refusals,
	       (unsigned long long)p->hung + p->lost_without_reason,
	       (unsigned long long)n->hung + n->lost_without_reason,
	       (unsigned long long)p->lost, (unsigned long long)n->lost,
	       (unsigned long long)p->max_notify_ms);
}

static void write_json_counts(FILE *out, const char *name,
			      const cell_counts_t *c)
{
	fprintf(out,
		"\"%s\":{\"cells\":%llu,\"requests\":%llu,\"broken\":%llu,"
		"\"refused\":%llu,\"lost\":%llu,\"wordless\":%llu,"
		"\"doubled\":%llu,\"missing\":%llu,\"misrouted\":%llu,"
		"\"replayed\":%llu,\"untrue\":%llu,\"hung\":%llu,\"told_ms\":%"
		"llu}",
		name, (unsigned long long)c->cells,
		(unsigned long long)c->requests, (unsigned long long)c->broken,
		(unsigned long long)c->refused, (unsigned long long)c->lost,
		(unsigned long long)c->lost_without_reason,
		(unsigned long long)c->duplicates,
		(unsigned long long)c->missing,
		(unsigned long long)c->misrouted,
		(unsigned long long)c->replayed,
		(unsigned long long)c->false_refusals,
		(unsigned long long)c->hung,
		(unsigned long long)c->max_notify_ms);
}

static FILE *open_report(void)
{
	const char *dir = getenv("REPORT_DIR");
	char *sub, *path;
	FILE *out;

	if (!dir)
		return NULL;
	sub = g_build_filename(dir, "bench", NULL);
	path = g_build_filename(sub, "matrix.json", NULL);
	g_mkdir_with_parents(sub, 0755);
	out = fopen(path, "w");
	g_free(path);
	g_free(sub);
	return out;
}

static void write_report(void)
{
	FILE *out = open_report();
	const char *comma = "";
	row_t row;

	printf("%-30s %5s %6s %8s | broken    | doubled  | misrout | untrue  |"
	       " no reason  | lost, notified ms\n",
	       "fault (product, naive)", "cells", "flows", "refused");
	rewind(row_file);
	if (out)
		fprintf(out, "[");
	while (fread(&row, sizeof(row), 1, row_file) == 1) {
		print_row(&row);
		if (!out)
			continue;
		fprintf(out, "%s\n{\"fault\":\"%s\",\"class\":\"%s\",", comma,
			row.name, fault_class_name(row.class));
		write_json_counts(out, "ours", &row.product);
		fprintf(out, ",");
		write_json_counts(out, "naive", &row.naive);
		fprintf(out, "}");
		comma = ",";
	}
	if (out) {
		fprintf(out, "\n]\n");
		fclose(out);
	}
}

int main(void)
{
	Suite *s = suite_create("matrix");
	TCase *single = tcase_create("alone");
	TCase *pairs = tcase_create("pairs");
	TCase *last = tcase_create("naive");
	int n = 0, code;

	row_file = tmpfile();
	if (!row_file)
		return EXIT_FAILURE;
	for (int i = 0; i < (int)matrix_nfaults; i++)
		add_case(single, n++, "alone", run_single, i);
	for (int i = 0; i < (int)matrix_nfaults; i++)
		add_case(pairs, n++, "pairs", run_pairs, i);
	tcase_add_test(last, naive_version_breaks_flows);
	tcase_set_timeout(single, 120);
	tcase_set_timeout(pairs, 120);
	suite_add_tcase(s, single);
	suite_add_tcase(s, pairs);
	suite_add_tcase(s, last);
	code = run_suite(s);
	write_report();
	fclose(row_file);
	return code;
}
