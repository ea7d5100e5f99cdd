#include "matrix.h"

#define NODE(place, i) ((node_t){ place, i })
#define BALANCERS      3
#define AGENTS	       6 /* at first */
#define MAPS	       2 /* of them, behind those of the first service */
#define APPLYING_MS    1500
#define LOSS	       0.05
#define DUPLICATION    0.2
#define REORDER_MS     25
#define ONE_WAY_MS     3
#define UPLOAD_PART    30000
#define UPLOAD_WHOLE   75000

static void kill_balancer(cell_t *c)
{
	csim_kill(c->sim, NODE_BALANCER, c->victim);
}

/* The fabric noticed. */
static void forget_balancer(cell_t *c, unsigned victim)
{
	csim_set_in_fabric(c->sim, victim, false);
}

static void freeze_balancer(cell_t *c)
{
	csim_freeze(c->sim, NODE_BALANCER, c->victim);
}

static void thaw_balancer(cell_t *c, unsigned victim)
{
	if (csim_is_alive(c->sim, NODE_BALANCER, victim))
		csim_thaw(c->sim, NODE_BALANCER, victim);
}

static void replace_balancer(cell_t *c)
{
	csim_add_balancer(c->sim);
	csim_set_in_fabric(c->sim, c->victim, false);
}

/* Stopped once the fabric hands it no more packets. */
static void stop_balancer(cell_t *c, unsigned victim)
{
	csim_kill(c->sim, NODE_BALANCER, victim);
}

static void add_balancer(cell_t *c)
{
	csim_add_balancer(c->sim);
}

static void kill_agent(cell_t *c)
{
	csim_kill(c->sim, NODE_AGENT, c->victim);
	c->frozen &= ~(1ULL << c->victim);
}

static void start_agent(cell_t *c, unsigned victim)
{
	if (csim_is_alive(c->sim, NODE_SERVER, victim))
		csim_restart(c->sim, NODE_AGENT, victim);
}

static void freeze_agent(cell_t *c)
{
	csim_freeze(c->sim, NODE_AGENT, c->victim);
	c->frozen |= 1ULL << c->victim;
}

static void thaw_agent(cell_t *c, unsigned victim)
{
	if (c->frozen >> victim & 1 &&
	    csim_is_alive(c->sim, NODE_AGENT, victim))
		csim_thaw(c->sim, NODE_AGENT, victim);
	c->frozen &= ~(1ULL << victim);
}

static void freeze_host(cell_t *c)
{
	freeze_agent(c);
	csim_freeze(c->sim, NODE_SERVER, c->victim);
}

static void thaw_host(cell_t *c, unsigned victim)
{
	if (csim_is_alive(c->sim, NODE_SERVER, victim))
		csim_thaw(c->sim, NODE_SERVER, victim);
	thaw_agent(c, victim);
}

static void hand_over(cell_t *c)
{
	if (!(c->frozen >> c->victim & 1))
		csim_hand_over(c->sim, c->victim);
}

static void restart_server(cell_t *c)
{
	csim_restart(c->sim, NODE_SERVER, c->victim);
}

static void lose_host(cell_t *c)
{
	csim_kill(c->sim, NODE_SERVER, c->victim);
	csim_kill(c->sim, NODE_AGENT, c->victim);
}

static void lose_server(cell_t *c)
{
	csim_kill(c->sim, NODE_SERVER, c->victim);
}

static void heal(cell_t *c, unsigned victim)
{
	(void)victim;
	csim_heal_cuts(c->sim);
}

static void cut_balancer(cell_t *c)
{
	unsigned agent = cell_subject(c)->holder;

	csim_cut(c->sim, NODE(NODE_BALANCER, c->victim),
		 NODE(NODE_AGENT, agent));
	csim_cut(c->sim, NODE(NODE_AGENT, agent),
		 NODE(NODE_BALANCER, c->victim));
}

static void cut_to_agent(cell_t *c)
{
	for (unsigned i = 0; i < BALANCERS; i++)
		csim_cut(c->sim, NODE(NODE_BALANCER, i),
			 NODE(NODE_AGENT, c->victim));
}

static void cut_from_agent(cell_t *c)
{
	for (unsigned i = 0; i < BALANCERS; i++)
		csim_cut(c->sim, NODE(NODE_AGENT, c->victim),
			 NODE(NODE_BALANCER, i));
}

static void cut_answers(cell_t *c)
{
	csim_cut(c->sim, NODE(NODE_AGENT, c->victim), NODE(NODE_CALLER, 0));
}

static void cut_peers(cell_t *c)
{
	for (unsigned i = 0; i < AGENTS; i++) {
		csim_cut(c->sim, NODE(NODE_AGENT, c->victim),
			 NODE(NODE_AGENT, i));
		csim_cut(c->sim, NODE(NODE_AGENT, i),
			 NODE(NODE_AGENT, c->victim));
	}
}

static void cut_host(cell_t *c)
{
	cut_peers(c);
	cut_to_agent(c);
	cut_from_agent(c);
	cut_answers(c);
}

/* One balancer and half of the agents cannot speak to the others. */
static void partition(cell_t *c)
{
	for (unsigned i = 0; i < AGENTS; i++) {
		for (unsigned j = 0; j < AGENTS; j++)
			if (i % 2 != j % 2)
				csim_cut(c->sim, NODE(NODE_AGENT, i),
					 NODE(NODE_AGENT, j));
		for (unsigned j = 0; j < BALANCERS; j++) {
			if ((j == c->victim) == (i % 2 == 0))
				continue;
			csim_cut(c->sim, NODE(NODE_BALANCER, j),
				 NODE(NODE_AGENT, i));
			csim_cut(c->sim, NODE(NODE_AGENT, i),
				 NODE(NODE_BALANCER, j));
		}
	}
}

static void lose_packets(cell_t *c)
{
	csim_set_network(c->sim, LOSS, 0, ONE_WAY_MS, 0);
}

static void duplicate_packets(cell_t *c)
{
	c->doubling = true;
	csim_set_network(c->sim, 0, DUPLICATION, ONE_WAY_MS, 0);
}

static void reorder_packets(cell_t *c)
{
	csim_set_network(c->sim, 0, 0, ONE_WAY_MS, REORDER_MS);
}

static void mend_network(cell_t *c, unsigned victim)
{
	(void)victim;
	csim_set_network(c->sim, 0, 0, ONE_WAY_MS, 0);
}

/* In force at half of the processes first. */
static void configure_half(cell_t *c)
{
	unsigned parity = (unsigned)(cell_random(c) & 1);
	char *text;

	c->document.version++;
	text = cell_text(&c->document);
	csim_start_targets(c->sim, text);
	for (unsigned i = parity; i < BALANCERS; i += 2)
		csim_configure(c->sim, NODE_BALANCER, i, text);
	for (unsigned i = 1 - parity; i < csim_agent_count(c->sim); i += 2)
		csim_configure(c->sim, NODE_AGENT, i, text);
	g_free(text);
}

static void configure_rest(cell_t *c, unsigned victim)
{
	char *text = cell_text(&c->document);

	(void)victim;
	csim_configure_all(c->sim, text);
	g_free(text);
}

static void add_target(cell_t *c)
{
	c->document.spots++;
	configure_half(c);
}

/* Bit of the victim in the document. */
static unsigned victim_bit(const cell_t *c)
{
	return 1U << (c->victim < AGENTS ? c->victim : c->victim - MAPS);
}

static void reweight_target(cell_t *c)
{
	c->document.reweighted ^= victim_bit(c);
	configure_half(c);
}

static void drain_target(cell_t *c)
{
	c->document.draining |= victim_bit(c);
	configure_half(c);
}

static void delete_target(cell_t *c)
{
	c->document.deleted |= victim_bit(c);
	configure_half(c);
}

/* clang-format off */
const fault_t matrix_faults[] = {
	{ "balancer_replaced", FAULT_PLANNED, 500, replace_balancer,
	  stop_balancer, false },
	{ "balancer_joined", FAULT_PLANNED, 0, add_balancer, NULL, false },
	{ "agent_handed_over", FAULT_PLANNED, 0, hand_over, NULL, true },
	{ "target_added", FAULT_PLANNED, 800, add_target, configure_rest,
	  true },
	{ "target_reweighted", FAULT_PLANNED, 800, reweight_target,
	  configure_rest, true },
	{ "target_drained", FAULT_PLANNED, 800, drain_target, configure_rest,
	  true },
	{ "target_deleted", FAULT_PLANNED, 800, delete_target, configure_rest,
	  true },
	{ "balancer_killed", FAULT_PASSING, 300, kill_balancer,
	  forget_balancer, false },
	{ "balancer_frozen", FAULT_PASSING, 3000, freeze_balancer,
	  thaw_balancer, false },
	{ "agent_restarted", FAULT_PASSING, 500, kill_agent, start_agent,
	  true },
	{ "agent_frozen", FAULT_PASSING, 3000, freeze_agent, thaw_agent,
	  true },
	{ "host_frozen", FAULT_PASSING, 3000, freeze_host, thaw_host, true },
	{ "path_cut", FAULT_PASSING, 2000, cut_balancer, heal, false },
	{ "way_to_agent_cut", FAULT_PASSING, 2000, cut_to_agent, heal, true },
	{ "way_from_agent_cut", FAULT_PASSING, 2000, cut_from_agent, heal,
	  true },
	{ "answers_cut", FAULT_PASSING, 2000, cut_answers, heal, true },
	{ "peers_cut", FAULT_PASSING, 2000, cut_peers, heal, true },
	{ "host_cut", FAULT_PASSING, 2000, cut_host, heal, true },
	{ "partition", FAULT_PASSING, 2000, partition, heal, false },
	{ "packets_lost", FAULT_PASSING, 2000, lose_packets, mend_network,
	  false },
	{ "packets_doubled", FAULT_PASSING, 2000, duplicate_packets,
	  mend_network, false },
	{ "packets_reordered", FAULT_PASSING, 2000, reorder_packets,
	  mend_network, false },
	{ "server_restarted", FAULT_LOSS, 0, restart_server, NULL, true },
	{ "server_lost", FAULT_LOSS, 0, lose_server, NULL, true },
	{ "host_lost", FAULT_LOSS, 0, lose_host, NULL, true },
};
/* clang-format on */
const size_t matrix_nfaults = G_N_ELEMENTS(matrix_faults);

static bool syn_sent(const cell_t *c)
{
	return cell_subject(c)->syn;
}

static bool syn_ack_sent(const cell_t *c)
{
	return cell_subject(c)->syn_ack;
}

static bool mid_upload(const cell_t *c)
{
	return cell_subject(c)->to_server >= UPLOAD_PART;
}

static bool uploaded(const cell_t *c)
{
	return cell_subject(c)->to_server >= UPLOAD_WHOLE;
}

static bool half_answered(const cell_t *c)
{
	const csim_result_t *r = csim_result(c->sim, c->subject);

	return r->request && r->request->got * 2 >= r->app.bytes;
}

static bool feed_running(const cell_t *c)
{
	const csim_result_t *r = csim_result(c->sim, c->subject);

	return r->request && r->request->got >= r->app.bytes * 3;
}

static bool fin_sent(const cell_t *c)
{
	return cell_subject(c)->fin;
}

static void change_half(cell_t *c)
{
	static const fault_t rest = { "rest",	      FAULT_PLANNED,
				      APPLYING_MS,    configure_half,
				      configure_rest, false };

	c->document.reweighted = 1;
	configure_half(c);
	c->agenda[c->nagenda].time = csim_now(c->sim) + rest.lasts_ms;
	c->agenda[c->nagenda++].fault = &rest;
}

static void drain_holder(cell_t *c)
{
	c->victim = cell_subject(c)->holder;
	c->document.draining |= victim_bit(c);
	c->document.version++;
	configure_rest(c, 0);
}

/* A backend server's host has just been started again. */
static void start_cold(cell_t *c)
{
	unsigned cold = (unsigned)(cell_random(c) % 4);

	csim_restart(c->sim, NODE_SERVER, cold);
	csim_restart(c->sim, NODE_AGENT, cold);
}

/* clang-format off */
const step_t matrix_steps[] = {
	{ "before_syn", APP_LOG, NULL, NULL, NULL },
	{ "syn_sent", APP_LOG, NULL, syn_sent, NULL },
	{ "syn_ack_sent", APP_LOG, NULL, syn_ack_sent, NULL },
	{ "mid_upload", APP_LOG, NULL, mid_upload, NULL },
	{ "uploaded", APP_LOG, NULL, uploaded, NULL },
	{ "half_answered", APP_GET, NULL, half_answered, NULL },
	{ "feed_running", APP_FEED, NULL, feed_running, NULL },
	{ "fin", APP_GET, NULL, fin_sent, NULL },
	{ "applying", APP_FEED, change_half, feed_running, NULL },
	{ "draining", APP_FEED, NULL, feed_running, drain_holder },
	{ "cold", APP_LOG, start_cold, mid_upload, NULL },
};
/* clang-format on */
const size_t matrix_nsteps = G_N_ELEMENTS(matrix_steps);
