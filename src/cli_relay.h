#ifndef CLI_RELAY_H
#define CLI_RELAY_H

/*
 * cli_relay - asking processes that relay packets, over HTTP
 *
 * They have no key and no operators' settings: they are named by the address
 * where they serve readiness or metrics. What they answer is text, a metric a
 * line: NAME VALUE or NAME{LABEL="TEXT",...} VALUE.
 */

#include "endpoint.h"
#include "err.h"
#include <glib.h>

typedef struct cli_relay {
	endpoint_t addr;
	char *metrics; /* its metrics, owned; NULL: no answer */
	char *failure; /* there is none, owned */
} cli_relay_t;

/* Option entry of a command that may ask them; the array is the caller's. */
GOptionEntry cli_relay_option(char ***addresses);

/*
 * Asks each of the addresses, a NULL-terminated list of "IPv4:PORT". Returns
 * an array of cli_relay_t, freed by cli_relays_free(), or NULL and the error
 * when one is no address.
 */
GArray *cli_relays_fetch(char **addresses, err_t *err);
void cli_relays_free(GArray *relays);

/* Value of a metric without labels, 0 when there is none. */
long long cli_relay_metric(const cli_relay_t *r, const char *metric);
/* A label of cherviltray_info; freed by the caller, "-" when there is none. */
char *cli_relay_label(const cli_relay_t *r, const char *label);

/* The commands; each returns an exit code of cli.h. */
int cli_relays_metrics(char **addresses);
int cli_relays_status(char **addresses);

#endif
