#ifndef COUNTERS_H
#define COUNTERS_H

/*
 * counters - event counters of a process
 *
 * All programs share one table; a program prints only the counters that are
 * not zero. The second column is the name in `cherviltray metrics` and on the
 * metrics address. Some of these names differ from the terms of the code:
 * trials counts attempts to verify a flow (FLOW_VERIFYING), trials_denied and
 * trials_silent count flows whose verification was denied or not answered,
 * lookups_silent counts lookups that ended without an answer from some agent,
 * and requests_hasty counts answers of a server that came too fast.
 *
 * DROP_TRUNCATED to DROP_BAD_UDP are in the order of packet_status_t, because
 * the counter of a dropped packet is computed from its status.
 */

#include <stddef.h>
#include <stdint.h>

#define COUNTER_TABLE(X)                                                       \
	X(PACKETS_IN, "packets_in")                                            \
	X(PACKETS_OUT, "packets_out")                                          \
	X(DROP_TRUNCATED, "drop_truncated")                                    \
	X(DROP_OVERSIZED, "drop_oversized")                                    \
	X(DROP_NOT_IPV4, "drop_not_ipv4")                                      \
	X(DROP_BAD_HEADER, "drop_bad_header")                                  \
	X(DROP_BAD_CHECKSUM, "drop_bad_checksum")                              \
	X(DROP_FRAGMENT, "drop_fragment")                                      \
	X(DROP_PROTOCOL, "drop_protocol")                                      \
	X(DROP_BAD_TCP, "drop_bad_tcp")                                        \
	X(DROP_BAD_UDP, "drop_bad_udp")                                        \
	X(DROP_NO_SERVICE, "drop_no_service")                                  \
	X(DROP_NO_TARGET, "drop_no_target")                                    \
	X(DROP_NO_CONFIG, "drop_no_config")                                    \
	X(OPENS_EARLY, "opens_early")                                          \
	X(OPENS_STALE, "opens_stale")                                          \
	X(PACKETS_HELD, "packets_held")                                        \
	X(STORE_READS, "store_reads")                                          \
	X(DROP_WRONG_SERVICE, "drop_wrong_service")                            \
	X(DROP_HOP_LIMIT, "drop_hop_limit")                                    \
	X(MESSAGES_IN, "messages_in")                                          \
	X(MESSAGES_OUT, "messages_out")                                        \
	X(MESSAGE_BYTES_OUT, "message_bytes_out")                              \
	X(MESSAGE_SHORT, "message_short")                                      \
	X(MESSAGE_FOREIGN, "message_foreign")                                  \
	X(MESSAGE_FORGED, "message_forged")                                    \
	X(MESSAGE_STALE, "message_stale")                                      \
	X(MESSAGE_REPLAYED, "message_replayed")                                \
	X(MESSAGE_MALFORMED, "message_malformed")                              \
	X(MESSAGE_UNEXPECTED, "message_unexpected")                            \
	X(SEND_FAILED, "send_failed")                                          \
	X(CONTROL_MESSAGES_OUT, "control_messages_out")                        \
	X(CONTROL_BYTES_OUT, "control_bytes_out")                              \
	X(STORE_RESTORED, "store_restored")                                    \
	X(OPENS, "opens")                                                      \
	X(OPENS_ACCEPTED, "opens_accepted")                                    \
	X(OPENS_PASSED, "opens_passed")                                        \
	X(OPENS_REFUSED, "opens_refused")                                      \
	X(OPENS_LEFT, "opens_left")                                            \
	X(OPENS_QUEUED, "opens_queued")                                        \
	X(OPENS_QUEUED_IN_VAIN, "opens_queued_in_vain")                        \
	X(OPENS_EVACUATED, "opens_evacuated")                                  \
	X(OPENS_LIMITED, "opens_limited")                                      \
	X(OPENS_RETRIED, "opens_retried")                                      \
	X(OPENS_RETRY_DENIED, "opens_retry_denied")                            \
	X(CACHE_HITS, "cache_hits")                                            \
	X(CACHE_MISSES, "cache_misses")                                        \
	X(LOOKUPS_PASSED, "lookups_passed")                                    \
	X(LOOKUPS_UNKNOWN, "lookups_unknown")                                  \
	X(LOOKUPS_WIDENED, "lookups_widened")                                  \
	X(LOOKUPS_SILENT, "lookups_silent")                                    \
	X(DETOURS, "detours")                                                  \
	X(FLOWS_OPENED, "flows_opened")                                        \
	X(FLOWS_CLOSED, "flows_closed")                                        \
	X(FLOWS_ADOPTED, "flows_adopted")                                      \
	X(FLOWS_RESET, "flows_reset")                                          \
	X(FLOWS_EXPIRED, "flows_expired")                                      \
	X(HALF_OPEN_LOST, "half_open_lost")                                    \
	X(TRIALS, "trials")                                                    \
	X(TRIALS_DENIED, "trials_denied")                                      \
	X(TRIALS_SILENT, "trials_silent")                                      \
	X(RESETS_SWALLOWED, "resets_swallowed")                                \
	X(ANSWERS_UNKNOWN, "answers_unknown")                                  \
	X(KEEPALIVES, "keepalives")                                            \
	X(HINTS_WITHHELD, "hints_withheld")                                    \
	X(OPENS_OFFERED_ON, "opens_offered_on")                                \
	X(SERVER_PROBES, "server_probes")                                      \
	X(SERVER_LOST, "server_lost")                                          \
	X(WITNESS_FLOWS, "witness_flows")                                      \
	X(WITNESS_PROBES, "witness_probes")                                    \
	X(SERVICE_POLLS, "service_polls")                                      \
	X(REQUESTS, "requests")                                                \
	X(REQUESTS_FAILED, "requests_failed")                                  \
	X(REQUESTS_HASTY, "requests_hasty")                                    \
	X(PACED, "paced")                                                      \
	X(REQUESTS_ANSWERED, "requests_answered")                              \
	X(SUSPICIONS, "suspicions")                                            \
	X(REFUTATIONS, "refutations")                                          \
	X(MEMBERS_DEAD, "members_dead")                                        \
	X(CONFIG_ACCEPTED, "config_accepted")                                  \
	X(CONFIG_REFUSED, "config_refused")                                    \
	X(CONFIG_PULLS, "config_pulls")                                        \
	X(PLATFORM_CALLS, "platform_calls")                                    \
	X(PLATFORM_FAILURES, "platform_failures")                              \
	X(AUDIT_EVENTS, "audit_events")

typedef enum counter {
#define COUNTER_ENUM(id, name) COUNTER_##id,
	COUNTER_TABLE(COUNTER_ENUM)
#undef COUNTER_ENUM
		NCOUNTERS, /* number of counters */
} counter_t;

typedef struct counters {
	uint64_t values[NCOUNTERS];
} counters_t;

static inline void counter_add(counters_t *c, counter_t id, uint64_t n)
{
	c->values[id] += n;
}

/* Name in the metrics; "unknown" when id is out of range. */
const char *counter_name(counter_t id);

/* JSON object of all non-zero counters; freed by the caller with g_free(). */
char *counters_json(const counters_t *c);

#endif
