#ifndef RELAY_SIM_H
#define RELAY_SIM_H

/*
 * relay_sim - balancers, agents, backend servers and callers in one process
 *
 * The library's balancers and agents run on a clock of the world's own, with
 * a network of one millisecond, servers with slots and a short queue, and
 * callers that retry as a person's program would. All luck comes from a seed.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct relay_sim relay_sim_t;

/* Who decides where opens go. */
typedef enum rsim_policy {
	RSIM_PRODUCT,
	RSIM_NAIVE,  /* balancers know no load, agents take everything */
	RSIM_ORACLE, /* knows all servers as they are; the product is unused */
} rsim_policy_t;

typedef struct rsim_options {
	unsigned balancers;
	unsigned targets;
	unsigned zones; /* that both are spread over; 0: one */
	unsigned slots;
	unsigned queue;	     /* requests that wait at a server at most */
	double work_ms;	     /* mean service time at speed 1 */
	double oneshot_ms;   /* of fresh requests; 0: the same */
	double slow_speed;   /* of the first target; the others have speed 1 */
	unsigned users;	     /* with a long flow each */
	double user_rate;    /* requests a second of a user */
	double oneshot_rate; /* opens with one request a second, of all */
	unsigned objective_ms;
	unsigned deadline_ms;
	rsim_policy_t policy;
	uint64_t seed;
} rsim_options_t;

typedef struct rsim_result {
	unsigned nrequests;
	unsigned on_time;
	unsigned late;
	unsigned failed;
	unsigned high_priority; /* fresh requests, whose route goes first */
	unsigned high_priority_on_time;
	unsigned duplicate_runs; /* runs of one attempt beyond the first */
	unsigned wrong_resets;	 /* of open flows whose server lived on */
} rsim_result_t;

relay_sim_t *rsim_open(const rsim_options_t *options);
void rsim_close(relay_sim_t *sim);

/* Lets time pass. */
void rsim_run(relay_sim_t *sim, unsigned ms);

/* Forgets what was counted up to now. */
void rsim_reset_counts(relay_sim_t *sim);
rsim_result_t rsim_result(const relay_sim_t *sim);

/* Factor on all callers' rates. */
void rsim_set_rate(relay_sim_t *sim, double factor);
/* Factor on a target's service times. */
void rsim_set_slowdown(relay_sim_t *sim, unsigned target, double factor);
/* A part of a target's requests is answered with an error, within 1 ms. */
void rsim_set_failures(relay_sim_t *sim, unsigned target, double part);
/* The server dies with its flows, its entry goes 2.3 s later. */
void rsim_crash(relay_sim_t *sim, unsigned target);
/* A new server at the same place; cold for 2 s at 1.6 times its times. */
void rsim_start(relay_sim_t *sim, unsigned target);
/* It takes no more opens and goes when its flows have ended or 5 s later. */
void rsim_drain(relay_sim_t *sim, unsigned target);
/* The process restarts at once, with nothing remembered. */
void rsim_restart_agent(relay_sim_t *sim, unsigned target);
void rsim_restart_balancer(relay_sim_t *sim, unsigned balancer);
/* Packets reach the balancers of this zone only; -1: all. */
void rsim_set_zone(relay_sim_t *sim, int zone);
/* Packets go to a balancer only while it is in rotation. */
void rsim_set_rotation(relay_sim_t *sim, unsigned balancer, bool in);

#endif
