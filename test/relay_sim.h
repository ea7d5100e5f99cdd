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

typedef struct relay_world relay_world_t;

/* Who decides where opens go. */
typedef enum rw_choice {
	WORLD_OURS,
	WORLD_NAIVE,  /* balancers know no load, agents take everything */
	WORLD_ORACLE, /* knows all servers as they are; the product is unused */
} rw_choice_t;

typedef struct rw_options {
	unsigned balancers;
	unsigned targets;
	unsigned zones; /* that both are spread over; 0: one */
	unsigned slots;
	unsigned queue;	   /* requests that wait at a server at most */
	double work_ms;	   /* mean service time at speed 1 */
	double fresh_ms;   /* of fresh requests; 0: the same */
	double slow_speed; /* of the first target; the others have speed 1 */
	unsigned users;	   /* with a long flow each */
	double user_rate;  /* requests a second of a user */
	double fresh_rate; /* opens with one request a second, of all */
	unsigned aim_ms;
	unsigned deadline_ms;
	rw_choice_t choice;
	uint64_t seed;
} rw_options_t;

typedef struct rw_result {
	unsigned asked;
	unsigned in_aim;
	unsigned late;
	unsigned failed;
	unsigned urgent; /* fresh requests, whose route goes first */
	unsigned urgent_in_aim;
	unsigned doubled;      /* runs of one attempt beyond the first */
	unsigned wrong_resets; /* of open flows whose server lived on */
} rw_result_t;

relay_world_t *rw_open(const rw_options_t *options);
void rw_close(relay_world_t *w);

/* Lets time pass. */
void rw_pass(relay_world_t *w, unsigned ms);

/* Forgets what was counted up to now. */
void rw_count_anew(relay_world_t *w);
rw_result_t rw_result(const relay_world_t *w);

/* Factor on all callers' rates. */
void rw_rate(relay_world_t *w, double factor);
/* Factor on a target's service times. */
void rw_slow(relay_world_t *w, unsigned target, double factor);
/* A part of a target's requests is answered with an error, within 1 ms. */
void rw_fail(relay_world_t *w, unsigned target, double part);
/* The server dies with its flows, its entry goes 2.3 s later. */
void rw_crash(relay_world_t *w, unsigned target);
/* A new server at the same place; cold for 2 s at 1.6 times its times. */
void rw_start(relay_world_t *w, unsigned target);
/* It takes no more opens and goes when its flows have ended or 5 s later. */
void rw_drain(relay_world_t *w, unsigned target);
/* The process restarts at once, with nothing remembered. */
void rw_restart_agent(relay_world_t *w, unsigned target);
void rw_restart_balancer(relay_world_t *w, unsigned balancer);
/* Packets reach the balancers of this zone only; -1: all. */
void rw_shift(relay_world_t *w, int zone);
/* Packets go to a balancer only while it is in rotation. */
void rw_rotation(relay_world_t *w, unsigned balancer, bool in);

#endif
