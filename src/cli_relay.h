#ifndef CLI_RELAY_H
#define CLI_RELAY_H

/*
 * cli_relay - metrics of cherviltray-relay processes, fetched over HTTP
 *
 * Relays share no key with the operators and are not in the operators'
 * settings; the operator gives the address where a relay serves readiness or
 * metrics. The response has one metric per line: NAME VALUE or
 * NAME{LABEL="TEXT",...} VALUE.
 */

#include "endpoint.h"
#include "err.h"
#include <glib.h>

typedef struct cli_relay {
	endpoint_t addr;
	char *metrics; /* response body, owned; NULL: request failed */
	char *failure; /* why the request failed, owned, or NULL */
} cli_relay_t;

/*
 * Option entry for --relay. The option sets *addresses to a NULL-terminated
 * list; the caller frees it with g_strfreev().
 */
GOptionEntry cli_relay_option(char ***addresses);

/*
 * Fetches the metrics of each address, a NULL-terminated list of "IPv4:PORT".
 * Returns an array of cli_relay_t, which the caller frees with
 * cli_relays_free(), or NULL with an error when an address is invalid.
 */
GArray *cli_relays_fetch(char **addresses, err_t *err);
void cli_relays_free(GArray *relays);

/* Value of a metric without labels, 0 when it is absent. */
long long cli_relay_metric(const cli_relay_t *r, const char *metric);
/* Value of a label of cherviltray_info, or "-"; the caller frees it. */
char *cli_relay_label(const cli_relay_t *r, const char *label);

/* `metrics --relay` and `status --relay`. Return an exit code of cli.h. */
int cli_relays_metrics(char **addresses);
int cli_relays_status(char **addresses);

#endif
