#ifndef RELAY_BALANCER_H
#define RELAY_BALANCER_H

/*
 * relay_balancer - forwarding decisions of a balancer that relays packets
 *
 * Used on platforms where backend servers return packets of flows that they
 * do not hold (relay_packet.h). The balancer finds the route of a packet,
 * offers an open to an agent together with further candidates, and sends any
 * other packet to the agent that holds its flow. The holders are kept in a
 * bounded index. A flow that is not in the index is looked up, first at the
 * agents among which its open was placed, then at all others that may hold it:
 * of the service, of the services that its route named before and, unless all
 * of these are known, of all services.
 * The balancer opens no socket and reads no clock; times are milliseconds of
 * a monotonic clock, addresses are IPv4 in host byte order.
 */

#include "counters.h"
#include "directory.h"
#include "evacuation.h"
#include "histogram.h"
#include "relay_msg.h"
#include "relay_packet.h"
#include "route_history.h"
#include "routes.h"
#include <stdbool.h>

typedef struct relay_balancer relay_balancer_t;

typedef struct relay_balancer_ops {
	/* Sends a packet to the agent on a host. */
	void (*send_packet)(void *ctx, uint32_t agent, const uint8_t *buf,
			    size_t len);
	/* Sends a message to the agent on a host. */
	void (*send_message)(void *ctx, uint32_t agent, const relay_msg_t *msg);
	/* Sends a packet to a caller. */
	void (*send_reply)(void *ctx, uint32_t caller, const uint8_t *buf,
			   size_t len);
	/* Returns the Unix time in ms. NULL: unknown. */
	uint64_t (*unix_ms)(void *ctx);
	/* Asks the balancer on a host for its routes and targets. NULL: it
	 * can't be asked. */
	void (*ask_balancer)(void *ctx, uint32_t host);
	/* Reads at once what the store has written; then
	 * relay_balancer_store_read() is called. NULL: the routes and targets
	 * are always the newest. */
	void (*read_store)(void *ctx);
	/* True while the store reports each change at once. NULL: never. */
	bool (*store_watched)(void *ctx);
} relay_balancer_ops_t;

typedef struct relay_balancer_options {
	uint32_t self;		       /* the balancer's address for answers */
	const char *zone;	       /* the balancer's availability zone */
	const packet_format_t *format; /* format of the callers' packets */
	size_t max_flows;	       /* capacity of the flow index */
	uint32_t target_expiry_ms;     /* see directory_new() */
	bool first_start; /* of the whole system: there are no flows yet */
	uint64_t now;	  /* ms, as passed to the functions below */
	/* Number from which look-up chains are numbered: another one at each
	 * start, as answers to an earlier process may still come. */
	uint32_t first_chain;
	/* Bound on the opens of a cold backend server, see relay_settings.h. */
	double warmup_overage;
	uint32_t warmup_slack;
} relay_balancer_options_t;

/*
 * Copies the options, but not the name of the zone, and the operations; ctx is
 * passed to each operation. Returns NULL when out of memory. Freed by
 * relay_balancer_free().
 */
relay_balancer_t *relay_balancer_new(const relay_balancer_options_t *options,
				     const relay_balancer_ops_t *ops,
				     void *ctx);
void relay_balancer_free(relay_balancer_t *b);

/*
 * Replaces the routes; takes ownership of the reference. Routes whose version
 * is not higher are released; a lower one is counted as refused.
 */
void relay_balancer_set_routes(relay_balancer_t *b, route_table_t *routes);

/* Version of the current routes; 0 before the first. */
uint64_t relay_balancer_route_version(const relay_balancer_t *b);

/* The current routes, owned by the balancer; NULL before the first. */
const route_table_t *relay_balancer_route_table(const relay_balancer_t *b);

/* The former routes, owned by the balancer. */
route_history_t *relay_balancer_route_history(relay_balancer_t *b);

/* The targets, owned by the balancer; filled by the platform's adapter. */
/* Flows that an agent listed when it stopped last, as holder_list_hash(), and
 * how long ago that was; NULL: none are known. Valid until the next call with
 * the balancer. */
const uint32_t *relay_balancer_listed(relay_balancer_t *b, uint32_t agent,
				      size_t *n, uint64_t *age_ms);
/* Takes such a list over from a peer, unless one is known. */
void relay_balancer_set_listed(relay_balancer_t *b, uint32_t agent,
			       const uint32_t *hashes, size_t n,
			       uint64_t age_ms);

directory_t *relay_balancer_directory(relay_balancer_t *b);

/* The evacuated zones, owned by the balancer; filled by the platform's adapter.
 */
evacuations_t *relay_balancer_evacuations(relay_balancer_t *b);

/*
 * To be called when all that the store had written when it was asked, at
 * asked_ms, has been applied.
 */
void relay_balancer_store_read(relay_balancer_t *b, uint64_t now,
			       uint64_t asked_ms);

/* Handles a packet from a caller and overwrites its annotation. */
void relay_balancer_handle_packet(relay_balancer_t *b, uint64_t now,
				  uint8_t *buf, size_t len);
/* The same for a packet that waited in a socket for wait_ms at most, while the
 * process did not run. */
void relay_balancer_handle_waited(relay_balancer_t *b, uint64_t now,
				  uint32_t wait_ms, uint8_t *buf, size_t len);

/* Handles a message from the agent on the host with the address `from`. */
void relay_balancer_handle_message(relay_balancer_t *b, uint64_t now,
				   uint32_t from, const relay_msg_t *msg);

/* Checks time-outs; to be called every RELAY_BALANCER_TICK_MS. */
void relay_balancer_tick(relay_balancer_t *b, uint64_t now);

counters_t *relay_balancer_counters(relay_balancer_t *b);

/* Times from the first offer of an open to the agent's RELAY_TAKEN, in ms. */
const histogram_t *relay_balancer_open_ms(const relay_balancer_t *b);

/* True while flows are looked up whose callers wait for an answer. */
bool relay_balancer_looks_up(const relay_balancer_t *b);

/* Number of flows in the index. */
size_t relay_balancer_flow_count(const relay_balancer_t *b);

/* Interval between calls of relay_balancer_tick(). */
#define RELAY_BALANCER_TICK_MS 25

#endif
