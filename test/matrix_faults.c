#include "matrix.h"

#define NODE(kind, i)	  ((node_t){ kind, i })
#define BALANCERS	  3
#define INITIAL_AGENTS	  6
#define MAPS_TARGETS	  2    /* of "maps", the last of the initial agents */
#define PARTIAL_CONFIG_MS 1500 /* change applied at half of the processes */
#define LOSS_RATIO	  0.05
#define DUPLICATE_RATIO	  0.2
#define REORDER_JITTER_MS 25
#define ONE_WAY_DELAY_MS  3
#define UPLOAD_PART_BYTES 30000
#define UPLOAD_BYTES	  75000 /* size of a log, as in cell_request() */

static void kill_balancer(cell_t *c)
{
	csim_kill(c->sim, NODE_BALANCER, c->victim);
}

/* The fabric stops sending packets to the balancer that failed. */
static void remove_balancer(cell_t *c, unsigned victim)
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

/* Runs when the fabric no longer sends packets to the balancer. */
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
	c->frozen_agents &= ~(1ULL << c->victim);
}

static void start_agent(cell_t *c, unsigned victim)
{
	if (csim_is_alive(c->sim, NODE_SERVER, victim))
		csim_restart(c->sim, NODE_AGENT, victim);
}

static void freeze_agent(cell_t *c)
{
	csim_freeze(c->sim, NODE_AGENT, c->victim);
	c->frozen_agents |= 1ULL << c->victim;
}

static void thaw_agent(cell_t *c, unsigned victim)
{
	if (c->frozen_agents >> victim & 1 &&
	    csim_is_alive(c->sim, NODE_AGENT, victim))
		csim_thaw(c->sim, NODE_AGENT, victim);
	c->frozen_agents &= ~(1ULL << victim);
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
	if (!(c->frozen_agents >> c->victim & 1))
		csim_hand_over(c->sim, c->victim);
}

static void restart_server(cell_t *c)
{
	csim_restart(c->sim, NODE_SERVER, c->victim);
}

static void kill_host(cell_t *c)
{
	csim_kill(c->sim, NODE_SERVER, c->victim);
	csim_kill(c->sim, NODE_AGENT, c->victim);
}

static void kill_server(cell_t *c)
{
	csim_kill(c->sim, NODE_SERVER, c->victim);
}

static void heal_cuts(cell_t *c, unsigned victim)
{
	(void)victim;
	csim_heal_cuts(c->sim);
}

static void cut_path(cell_t *c)
{
	unsigned agent = cell_subject_trace(c)->holder;

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

static void cut_replies(cell_t *c)
{
	csim_cut(c->sim, NODE(NODE_AGENT, c->victim), NODE(NODE_CALLER, 0));
}

static void cut_peers(cell_t *c)
{
	for (unsigned i = 0; i < INITIAL_AGENTS; i++) {
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
	cut_replies(c);
}

/* Separates the victim balancer and half of the agents from the others. */
static void partition(cell_t *c)
{
	for (unsigned i = 0; i < INITIAL_AGENTS; i++) {
		for (unsigned j = 0; j < INITIAL_AGENTS; j++)
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

static void drop_packets(cell_t *c)
{
	csim_set_network(c->sim, LOSS_RATIO, 0, ONE_WAY_DELAY_MS, 0);
}

static void duplicate_packets(cell_t *c)
{
	c->network_duplicates = true;
	csim_set_network(c->sim, 0, DUPLICATE_RATIO, ONE_WAY_DELAY_MS, 0);
}

static void reorder_packets(cell_t *c)
{
	csim_set_network(c->sim, 0, 0, ONE_WAY_DELAY_MS, REORDER_JITTER_MS);
}

static void reset_network(cell_t *c, unsigned victim)
{
	(void)victim;
	csim_set_network(c->sim, 0, 0, ONE_WAY_DELAY_MS, 0);
}

/* Applies the changed configuration to half of the processes. */
static void apply_config_to_half(cell_t *c)
{
	unsigned parity = (unsigned)(cell_random(c) & 1);
	char *text;

	c->config.version++;
	text = cell_config_text(&c->config);
	csim_start_targets(c->sim, text);
	for (unsigned i = parity; i < BALANCERS; i += 2)
		csim_configure(c->sim, NODE_BALANCER, i, text);
	for (unsigned i = 1 - parity; i < csim_agent_count(c->sim); i += 2)
		csim_configure(c->sim, NODE_AGENT, i, text);
	g_free(text);
}

static void apply_config_to_all(cell_t *c, unsigned victim)
{
	char *text = cell_config_text(&c->config);

	(void)victim;
	csim_configure_all(c->sim, text);
	g_free(text);
}

static void add_target(cell_t *c)
{
	c->config.spot_targets++;
	apply_config_to_half(c);
}

/*
 * Returns the bit of the victim in the masks of cell_config_t, which count the
 * targets of "spot" only: agents added later follow those of "maps".
 */
static unsigned victim_bit(const cell_t *c)
{
	return 1U << (c->victim < INITIAL_AGENTS ? c->victim
						 : c->victim - MAPS_TARGETS);
}

static void reweight_target(cell_t *c)
{
	c->config.reweighted ^= victim_bit(c);
	apply_config_to_half(c);
}

static void drain_target(cell_t *c)
{
	c->config.draining |= victim_bit(c);
	apply_config_to_half(c);
}

static void delete_target(cell_t *c)
{
	c->config.deleted |= victim_bit(c);
	apply_config_to_half(c);
}

/* clang-format off */
const fault_t matrix_faults[] = {
	{ "balancer_replaced", FAULT_PLANNED, 500, replace_balancer,
	  stop_balancer, false },
	{ "balancer_joined", FAULT_PLANNED, 0, add_balancer, NULL, false },
	{ "agent_handed_over", FAULT_PLANNED, 0, hand_over, NULL, true },
	{ "target_added", FAULT_PLANNED, 800, add_target, apply_config_to_all,
	  true },
	{ "target_reweighted", FAULT_PLANNED, 800, reweight_target,
	  apply_config_to_all, true },
	{ "target_drained", FAULT_PLANNED, 800, drain_target, apply_config_to_all,
	  true },
	{ "target_deleted", FAULT_PLANNED, 800, delete_target, apply_config_to_all,
	  true },
	{ "balancer_killed", FAULT_PASSING, 300, kill_balancer,
	  remove_balancer, false },
	{ "balancer_frozen", FAULT_PASSING, 3000, freeze_balancer,
	  thaw_balancer, false },
	{ "agent_restarted", FAULT_PASSING, 500, kill_agent, start_agent,
	  true },
	{ "agent_frozen", FAULT_PASSING, 3000, freeze_agent, thaw_agent,
	  true },
	{ "host_frozen", FAULT_PASSING, 3000, freeze_host, thaw_host, true },
	{ "path_cut", FAULT_PASSING, 2000, cut_path, heal_cuts, false },
	{ "way_to_agent_cut", FAULT_PASSING, 2000, cut_to_agent, heal_cuts, true },
	{ "way_from_agent_cut", FAULT_PASSING, 2000, cut_from_agent, heal_cuts,
	  true },
	{ "answers_cut", FAULT_PASSING, 2000, cut_replies, heal_cuts, true },
	{ "peers_cut", FAULT_PASSING, 2000, cut_peers, heal_cuts, true },
	{ "host_cut", FAULT_PASSING, 2000, cut_host, heal_cuts, true },
	{ "partition", FAULT_PASSING, 2000, partition, heal_cuts, false },
	{ "packets_lost", FAULT_PASSING, 2000, drop_packets, reset_network,
	  false },
	{ "packets_doubled", FAULT_PASSING, 2000, duplicate_packets,
	  reset_network, false },
	{ "packets_reordered", FAULT_PASSING, 2000, reorder_packets,
	  reset_network, false },
	{ "server_restarted", FAULT_LOSS, 0, restart_server, NULL, true },
	{ "server_lost", FAULT_LOSS, 0, kill_server, NULL, true },
	{ "host_lost", FAULT_LOSS, 0, kill_host, NULL, true },
};
/* clang-format on */
const size_t matrix_nfaults = G_N_ELEMENTS(matrix_faults);

static bool syn_sent(const cell_t *c)
{
	return cell_subject_trace(c)->syn;
}

static bool syn_ack_sent(const cell_t *c)
{
	return cell_subject_trace(c)->syn_ack;
}

static bool mid_upload(const cell_t *c)
{
	return cell_subject_trace(c)->bytes_to_server >= UPLOAD_PART_BYTES;
}

static bool uploaded(const cell_t *c)
{
	return cell_subject_trace(c)->bytes_to_server >= UPLOAD_BYTES;
}

static bool half_answered(const cell_t *c)
{
	const csim_result_t *r = csim_result(c->sim, c->subject);

	return r->request && r->request->received * 2 >= r->app.bytes;
}

static bool feed_running(const cell_t *c)
{
	const csim_result_t *r = csim_result(c->sim, c->subject);

	return r->request && r->request->received >= r->app.bytes * 3;
}

static bool fin_sent(const cell_t *c)
{
	return cell_subject_trace(c)->fin;
}

/* Half of the processes apply the change PARTIAL_CONFIG_MS later. */
static void begin_partial_config(cell_t *c)
{
	static const fault_t completion = { "rest",
					    FAULT_PLANNED,
					    PARTIAL_CONFIG_MS,
					    apply_config_to_half,
					    apply_config_to_all,
					    false };

	c->config.reweighted = 1;
	apply_config_to_half(c);
	c->scheduled[c->nscheduled].due_ms =
		csim_now(c->sim) + completion.duration_ms;
	c->scheduled[c->nscheduled++].fault = &completion;
}

static void drain_holder(cell_t *c)
{
	c->victim = cell_subject_trace(c)->holder;
	c->config.draining |= victim_bit(c);
	c->config.version++;
	apply_config_to_all(c, 0);
}

/* Restarts a backend server and its agent, which then know no flow. */
static void restart_cold(cell_t *c)
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
	{ "applying", APP_FEED, begin_partial_config, feed_running, NULL },
	{ "draining", APP_FEED, NULL, feed_running, drain_holder },
	{ "cold", APP_LOG, restart_cold, mid_upload, NULL },
};
/* clang-format on */
const size_t matrix_nsteps = G_N_ELEMENTS(matrix_steps);
