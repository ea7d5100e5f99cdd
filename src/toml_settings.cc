#include "toml_document.h"
#include "toml_reader.h"
#include <cstring>

namespace
{

void read_peers(toml_document &r, const toml::table &root, settings_t *out)
{
	const toml::node *node = root.get("peers");
	std::vector<endpoint_t> peers;

	if (!node)
		return;
	if (!node->is_array())
		r.fail(ERR_TYPE, *node, "write an array of \"IP:PORT\" strings",
		       "\"peers\" must be an array");
	for (const toml::node &item : *node->as_array()) {
		endpoint_t ep;

		if (!item.is_string() ||
		    endpoint_parse(item.as_string()->get().c_str(), &ep) < 0)
			r.fail(ERR_RANGE, item,
			       "write it as \"192.0.2.1:7000\"",
			       "value in \"peers\" is not an IPv4 address and "
			       "port");
		peers.push_back(ep);
	}
	out->npeers = peers.size();
	out->peers = toml_to_c_array(peers);
}

void read_limits(toml_document &r, const toml::table &root, settings_t *out)
{
	int64_t n;

	if (r.integer(root, "stop_ms", false, 0, 86400000, &n))
		out->stop_ms = (uint32_t)n;
	if (r.integer(root, "cache_flows", false, 1024, 16777216, &n))
		out->cache_flows = (uint32_t)n;
	if (r.integer(root, "retry_percent", false, 0, 100, &n))
		out->retry_percent = (uint32_t)n;
	if (r.integer(root, "flows", false, 1, 10000000, &n))
		out->flows = (uint32_t)n;
	if (r.integer(root, "queue", false, 1, 100000, &n))
		out->queue = (uint32_t)n;
	r.boolean(root, "takeover", false, &out->takeover);
}

void read_settings(toml_document &r, const toml::table &root, settings_t *out)
{
	bool balancer = out->role == ROLE_BALANCER;
	bool agent = out->role == ROLE_AGENT;

	if (balancer)
		r.check_keys(root,
			     { "name", "zone", "packets", "fabric", "listen",
			       "operators", "key_file", "key_file_old",
			       "config_file", "platform", "peers", "stop_ms",
			       "cache_flows", "retry_percent" });
	else if (agent)
		r.check_keys(root, { "name", "zone", "target", "listen",
				     "operators", "fabric", "server",
				     "delivery", "key_file", "key_file_old",
				     "config_file", "platform", "peers",
				     "stop_ms", "flows", "queue", "takeover" });
	else
		r.check_keys(root, { "key_file", "key_file_old", "peers" });
	r.string(root, "key_file", true, out->key_file, sizeof(out->key_file));
	r.string(root, "key_file_old", false, out->key_file_old,
		 sizeof(out->key_file_old));
	read_peers(r, root, out);
	if (!balancer && !agent)
		return;
	r.string(root, "name", true, out->name, sizeof(out->name));
	r.string(root, "zone", true, out->zone, sizeof(out->zone));
	r.address(root, "listen", true, &out->listen);
	r.address(root, "operators", true, &out->operators);
	r.string(root, "config_file", false, out->config_file,
		 sizeof(out->config_file));
	if (r.string(root, "platform", false, out->platform,
		     sizeof(out->platform)) &&
	    strncmp(out->platform, "http://", 7) != 0 &&
	    strncmp(out->platform, "https://", 8) != 0)
		r.fail(ERR_RANGE, *root.get("platform"),
		       "write it as \"http://192.0.2.1:8000\"",
		       "\"platform\" is not an HTTP or HTTPS URL");
	if (balancer) {
		r.address(root, "packets", true, &out->packets);
		r.address(root, "fabric", false, &out->fabric);
	}
	if (agent) {
		r.string(root, "target", true, out->target,
			 sizeof(out->target));
		r.address(root, "fabric", true, &out->fabric);
		r.address(root, "server", true, &out->server);
		r.address(root, "delivery", true, &out->delivery);
	}
	read_limits(r, root, out);
}

/* Ignores peers beyond RELAY_PEERS_MAX. */
void read_relay_peers(toml_document &r, const toml::table &root,
		      relay_settings_t *out)
{
	const toml::node *node = root.get("peers");

	if (!node)
		return;
	if (!node->is_array())
		r.fail(ERR_TYPE, *node, "write an array of \"IP:PORT\" strings",
		       "\"peers\" must be an array");
	for (const toml::node &peer : *node->as_array()) {
		endpoint_t at;

		if (!peer.is_string() ||
		    endpoint_parse(peer.as_string()->get().c_str(), &at) < 0)
			r.fail(ERR_RANGE, peer,
			       "write it as \"192.0.2.1:7000\"",
			       "value in \"peers\" is not an IPv4 address and "
			       "port");
		if (out->npeers < RELAY_PEERS_MAX)
			out->peers[out->npeers++] = at;
	}
}

void read_warmup_overage(toml_document &r, const toml::table &root, double *out)
{
	const toml::node *node = root.get("warmup_overage");

	if (!node)
		return;
	if (!node->is_number())
		r.fail(ERR_TYPE, *node, "write a number",
		       "\"warmup_overage\" must be a number");
	*out = node->value<double>().value_or(-1);
	if (!(*out >= 0 && *out <= 1000))
		r.fail(ERR_RANGE, *node, "use a number from 0 to 1000",
		       "\"warmup_overage\" is out of range");
}

void read_relay_settings(toml_document &r, const toml::table &root, bool agent,
			 bool strict, relay_settings_t *out)
{
	const std::initializer_list<std::string_view> known = {
		"name",		"zone",		  "address",
		"packets",	"ready",	  "internal_port",
		"metrics_port", "platform",	  "service",
		"server",	"server_out",	  "first_start",
		"memory_mb",	"silence_ms",	  "apply_ms",
		"evacuate_ms",	"warmup_overage", "warmup_slack",
		"heartbeat_ms", "control",	  "peers"
	};
	char text[NAME_BYTES];
	int64_t n = 0;

	if (strict)
		r.check_keys(root, known);
	r.list_unknown_keys(root, known, out->unknown_keys,
			    sizeof(out->unknown_keys));
	r.string(root, "name", true, out->name, sizeof(out->name));
	r.string(root, "zone", true, out->zone, sizeof(out->zone));
	r.string(root, "address", true, text, sizeof(text));
	if (ipv4_parse(text, &out->address) < 0)
		r.fail(ERR_RANGE, *root.get("address"),
		       "write it as \"192.0.2.1\"",
		       "\"address\" is not an IPv4 address");
	r.address(root, "packets", true, &out->packets);
	r.address(root, "ready", true, &out->ready);
	r.integer(root, "internal_port", true, 1, UINT16_MAX, &n);
	out->internal_port = (uint16_t)n;
	n = 0;
	r.integer(root, "metrics_port", false, 0, UINT16_MAX, &n);
	out->metrics_port = (uint16_t)n;
	n = out->silence_ms;
	r.integer(root, "silence_ms", false, 1000, 60000, &n);
	out->silence_ms = (uint32_t)n;
	n = out->apply_ms;
	r.integer(root, "apply_ms", false, 200, 600000, &n);
	out->apply_ms = (uint32_t)n;
	n = out->apply_ms;
	r.integer(root, "evacuate_ms", false, 200, 600000, &n);
	out->evacuate_ms = (uint32_t)n;
	read_warmup_overage(r, root, &out->warmup_overage);
	n = 0;
	r.integer(root, "warmup_slack", false, 0, 1 << 20, &n);
	out->warmup_slack = (uint32_t)n;
	n = out->heartbeat_ms;
	r.integer(root, "heartbeat_ms", false, 50, 60000, &n);
	out->heartbeat_ms = (uint32_t)n;
	n = out->memory_mb;
	r.integer(root, "memory_mb", false, 1, 1 << 20, &n);
	out->memory_mb = (uint32_t)n;
	r.boolean(root, "first_start", false, &out->first_start);
	r.address(root, "platform", !agent, &out->platform);
	r.address(root, "control", false, &out->control);
	read_relay_peers(r, root, out);
	if (!agent)
		return;
	r.string(root, "service", true, out->service, sizeof(out->service));
	r.address(root, "server", true, &out->server);
	r.address(root, "server_out", true, &out->server_out);
}

} // namespace

extern "C" int toml_read_settings(const char *file, const char *text,
				  size_t len, settings_t *out, err_t *err)
{
	return toml_document_parse(
		file, text, len, err,
		[&](toml_document &r, const toml::table &root) {
			read_settings(r, root, out);
		});
}

extern "C" int toml_read_relay_settings(const char *file, const char *text,
					size_t len, bool agent, bool strict,
					relay_settings_t *out, err_t *err)
{
	return toml_document_parse(
		file, text, len, err,
		[&](toml_document &r, const toml::table &root) {
			read_relay_settings(r, root, agent, strict, out);
		});
}
