#include <stdexcept>

/* Invalid text can fail an assertion in the library: throw instead of abort. */
[[noreturn]] static void assertion_failed()
{
	throw std::logic_error("document is not valid TOML");
}

#define TOML_ASSERT(cond) ((cond) ? (void)0 : assertion_failed())
#define TOML_EXCEPTIONS	  1
#include <toml++/toml.h>
#include "toml_reader.h"
#include "toml_text.h"
#include <algorithm>
#include <cctype>
#include <cmath>
#include <cstring>
#include <string_view>
#include <vector>

namespace
{

/* Thrown once reader::err is set; parse_toml() turns it into a return of -1. */
struct read_error {
};

struct reader {
	const char *file;
	err_t *err;

	/* First line of a node; 1 for the document itself. */
	static int line_of(const toml::node &node)
	{
		int line = (int)node.source().begin.line;

		return line > 0 ? line : 1;
	}

	[[noreturn]] void fail(err_kind_t kind, const toml::node &at,
			       const char *remedy, const std::string &what)
	{
		fail_at_line(kind, line_of(at), remedy, what);
	}

	[[noreturn]] void fail_at_line(err_kind_t kind, int line,
				       const char *remedy,
				       const std::string &what)
	{
		err_set(err, kind, file, line, remedy, "%s", what.c_str());
		throw read_error();
	}

	/* Calls unknown(name, node) for each key that is not in known. */
	template <typename F>
	static void
	each_unknown_key(const toml::table &table,
			 std::initializer_list<std::string_view> known,
			 F unknown)
	{
		for (const auto &entry : table) {
			bool found = false;

			for (auto name : known)
				found = found || entry.first.str() == name;
			if (!found)
				unknown(std::string(entry.first.str()),
					entry.second);
		}
	}

	/* Fails when the table has a key that is not in known. */
	void check_keys(const toml::table &table,
			std::initializer_list<std::string_view> known)
	{
		each_unknown_key(
			table, known,
			[&](const std::string &name, const toml::node &node) {
				fail(ERR_UNKNOWN_KEY, node,
				     "remove it or correct its spelling",
				     "unknown key \"" + name + "\"");
			});
	}

	/* Appends the names of keys that are not in known to `list`, as far as
	 * it has room, separated by spaces. Other characters than those of
	 * bare keys become '?'. */
	static void
	list_unknown_keys(const toml::table &table,
			  std::initializer_list<std::string_view> known,
			  char *list, size_t size)
	{
		std::string names;

		each_unknown_key(
			table, known,
			[&](const std::string &name, const toml::node &) {
				names += names.empty() ? "" : " ";
				for (unsigned char c : name)
					names += isalnum(c) || c == '_' ||
								 c == '-'
							 ? (char)c
							 : '?';
			});
		names.resize(std::min(names.size(), size - 1));
		memcpy(list, names.c_str(), names.size() + 1);
	}

	/* Returns the value of a key; NULL: absent and not required. */
	const toml::node *get(const toml::table &table, const char *key,
			      bool required)
	{
		const toml::node *node = table.get(key);

		if (!node && required)
			fail(ERR_MISSING, table, "add it",
			     "key \"" + std::string(key) + "\" is missing");
		return node;
	}

	/*
	 * string() to address() each read a value of one type. They return
	 * false and leave *out as it is when an optional key is absent.
	 */
	bool string(const toml::table &table, const char *key, bool required,
		    char *out, size_t size)
	{
		const toml::node *node = get(table, key, required);

		if (!node)
			return false;
		if (!node->is_string())
			fail(ERR_TYPE, *node, "write it in quotes",
			     "\"" + std::string(key) + "\" must be a string");
		const std::string &text = node->as_string()->get();
		if (text.empty() || text.size() >= size)
			fail(ERR_RANGE, *node,
			     ("use 1 to " + std::to_string(size - 1) +
			      " characters")
				     .c_str(),
			     "\"" + std::string(key) +
				     "\" is empty or too long");
		for (unsigned char c : text)
			if (c < 0x20 || c == '"' || c == '\\')
				fail(ERR_RANGE, *node,
				     "use printable characters other than "
				     "quotes and backslashes",
				     "\"" + std::string(key) +
					     "\" contains a forbidden "
					     "character");
		memcpy(out, text.c_str(), text.size() + 1);
		return true;
	}

	bool integer(const toml::table &table, const char *key, bool required,
		     int64_t min, int64_t max, int64_t *out)
	{
		const toml::node *node = get(table, key, required);

		if (!node)
			return false;
		if (!node->is_integer())
			fail(ERR_TYPE, *node, "write an integer",
			     "\"" + std::string(key) + "\" must be an integer");
		*out = node->as_integer()->get();
		if (*out < min || *out > max)
			fail(ERR_RANGE, *node,
			     ("use a number from " + std::to_string(min) +
			      " to " + std::to_string(max))
				     .c_str(),
			     "\"" + std::string(key) + "\" is " +
				     std::to_string(*out));
		return true;
	}

	bool boolean(const toml::table &table, const char *key, bool required,
		     bool *out)
	{
		const toml::node *node = get(table, key, required);

		if (!node)
			return false;
		if (!node->is_boolean())
			fail(ERR_TYPE, *node, "write true or false",
			     "\"" + std::string(key) +
				     "\" must be true or false");
		*out = node->as_boolean()->get();
		return true;
	}

	bool real(const toml::table &table, const char *key, double min,
		  double max, double *out)
	{
		const toml::node *node = get(table, key, false);

		if (!node)
			return false;
		if (!node->is_number())
			fail(ERR_TYPE, *node, "write a number",
			     "\"" + std::string(key) + "\" must be a number");
		*out = node->value<double>().value();
		if (!(*out >= min && *out <= max))
			fail(ERR_RANGE, *node,
			     ("use a number from " + std::to_string(min) +
			      " to " + std::to_string(max))
				     .c_str(),
			     "\"" + std::string(key) + "\" is out of range");
		return true;
	}

	/* Reads an address with a port. */
	bool address(const toml::table &table, const char *key, bool required,
		     endpoint_t *out)
	{
		char text[NAME_BYTES];

		if (!string(table, key, required, text, sizeof(text)))
			return false;
		if (endpoint_parse(text, out) < 0)
			fail(ERR_RANGE, *table.get(key),
			     "write it as \"192.0.2.1:7000\"",
			     "\"" + std::string(key) +
				     "\" is not an IPv4 address and port");
		return true;
	}

	/* Returns the tables of an optional key, or NULL when it is absent. */
	const toml::array *array_of_tables(const toml::table &table,
					   const char *key)
	{
		const toml::node *node = table.get(key);

		if (!node)
			return nullptr;
		if (!node->is_array_of_tables())
			fail(ERR_TYPE, *node,
			     ("write it as [[" + std::string(key) + "]]")
				     .c_str(),
			     "\"" + std::string(key) +
				     "\" must be an array of tables");
		return node->as_array();
	}
};

uint8_t read_protocol(reader &r, const toml::table &table)
{
	char text[NAME_BYTES] = "tcp";

	r.string(table, "protocol", false, text, sizeof(text));
	if (!strcmp(text, "tcp"))
		return PROTO_TCP;
	if (!strcmp(text, "udp"))
		return PROTO_UDP;
	r.fail(ERR_RANGE, *table.get("protocol"), "write \"tcp\" or \"udp\"",
	       "\"protocol\" is neither \"tcp\" nor \"udp\"");
}

class_t read_class(reader &r, const toml::table &table)
{
	class_t c = {};
	int64_t n = 1;

	r.check_keys(table,
		     { "name", "port", "protocol", "weight", "idempotent" });
	r.string(table, "name", true, c.name, sizeof(c.name));
	r.integer(table, "port", true, 1, UINT16_MAX, &n);
	c.port = (uint16_t)n;
	c.proto = read_protocol(r, table);
	n = 1;
	r.integer(table, "weight", false, 1, (int64_t)WEIGHT_MAX, &n);
	c.weight = (uint32_t)n;
	r.boolean(table, "idempotent", true, &c.idempotent);
	return c;
}

/*
 * Values of [service.defaults], for targets that do not set them. The flags
 * tell which of these keys are set; the weight is 1 unless set.
 */
struct target_defaults {
	target_t target;
	bool zone, slots, connections;
};

void read_weight(reader &r, const toml::table &table, target_t *t)
{
	/*
	 * The canonical text has six decimal places. Rounding here makes the
	 * weight the same for peers that received the canonical text.
	 */
	if (r.real(table, "weight", WEIGHT_MIN, WEIGHT_MAX, &t->weight))
		t->weight = std::round(t->weight * 1e6) / 1e6;
}

/* Reads the keys that targets and [service.defaults] have in common. */
void read_shared_keys(reader &r, const toml::table &table, target_defaults &d,
		      bool required, target_t *t)
{
	int64_t n;

	d.zone |= r.string(table, "zone", required && !d.zone, t->zone,
			   sizeof(t->zone));
	read_weight(r, table, t);
	if (r.integer(table, "slots", required && !d.slots, 1, 100000, &n)) {
		t->slots = (uint32_t)n;
		d.slots = true;
	}
	if (r.integer(table, "connections", required && !d.connections, 1,
		      10000000, &n)) {
		t->connections = (uint32_t)n;
		d.connections = true;
	}
}

target_defaults read_defaults(reader &r, const toml::table &service)
{
	target_defaults d = {};
	const toml::node *node = service.get("defaults");

	d.target.weight = 1.0;
	if (!node)
		return d;
	if (!node->is_table())
		r.fail(ERR_TYPE, *node, "write it as [service.defaults]",
		       "\"defaults\" must be a table");
	r.check_keys(*node->as_table(),
		     { "zone", "weight", "slots", "connections" });
	read_shared_keys(r, *node->as_table(), d, false, &d.target);
	return d;
}

target_t read_target(reader &r, const toml::table &table, target_defaults d)
{
	target_t t = d.target;
	char state[NAME_BYTES] = "active";

	r.check_keys(table, { "name", "agent", "zone", "weight", "slots",
			      "connections", "state" });
	r.string(table, "name", true, t.name, sizeof(t.name));
	r.address(table, "agent", true, &t.agent);
	read_shared_keys(r, table, d, true, &t);
	r.string(table, "state", false, state, sizeof(state));
	if (!strcmp(state, "draining"))
		t.state = TARGET_DRAINING;
	else if (strcmp(state, "active") != 0)
		r.fail(ERR_RANGE, *table.get("state"),
		       "write \"active\" or \"draining\"",
		       "unknown state of target \"" + std::string(t.name) +
			       "\"");
	return t;
}

/* Copies a vector to memory that C code releases with free(). */
template <typename T> T *to_c_array(const std::vector<T> &from)
{
	T *to = (T *)calloc(from.size() + 1, sizeof(T));

	if (!to)
		throw std::bad_alloc();
	if (!from.empty())
		memcpy(to, from.data(), from.size() * sizeof(T));
	return to;
}

void check_class(reader &r, const toml::node &at, const service_t &s,
		 const std::vector<class_t> &known, const class_t &c)
{
	for (const class_t &other : known) {
		if (!strcmp(other.name, c.name))
			r.fail(ERR_DUPLICATE, at,
			       "give each class its own name",
			       "class \"" + std::string(c.name) +
				       "\" is declared twice in service "
				       "\"" +
				       s.name + "\"");
		if (other.port == c.port && other.proto == c.proto)
			r.fail(ERR_DUPLICATE, at,
			       "give each class its own port",
			       "port of class \"" + std::string(c.name) +
				       "\" is used by another class");
	}
}

service_t read_service(reader &r, const toml::table &table,
		       std::vector<int> &target_lines)
{
	service_t s = {};
	char address[NAME_BYTES];
	std::vector<class_t> classes;
	std::vector<target_t> targets;

	r.check_keys(table,
		     { "name", "address", "class", "defaults", "target" });
	r.string(table, "name", true, s.name, sizeof(s.name));
	r.string(table, "address", true, address, sizeof(address));
	if (ipv4_parse(address, &s.address) < 0)
		r.fail(ERR_RANGE, *table.get("address"),
		       "write it as \"192.0.2.1\"",
		       "address of service \"" + std::string(s.name) +
			       "\" is not an IPv4 address");
	if (const toml::array *list = r.array_of_tables(table, "class"))
		for (const toml::node &node : *list) {
			class_t c = read_class(r, *node.as_table());

			check_class(r, node, s, classes, c);
			classes.push_back(c);
		}
	target_defaults defaults = read_defaults(r, table);

	if (const toml::array *list = r.array_of_tables(table, "target"))
		for (const toml::node &node : *list) {
			targets.push_back(
				read_target(r, *node.as_table(), defaults));
			target_lines.push_back(r.line_of(node));
		}
	s.nclasses = classes.size();
	s.ntargets = targets.size();
	s.classes = to_c_array(classes);
	s.targets = to_c_array(targets);
	return s;
}

void read_config(reader &r, const toml::table &root, config_t **out)
{
	std::vector<service_t> services;
	std::vector<int> service_lines;
	std::vector<int> target_lines;
	config_lines_t lines = {};
	int64_t version = 0;

	r.check_keys(root, { "version", "service" });
	r.integer(root, "version", true, 1, INT64_MAX, &version);
	try {
		if (const toml::array *list =
			    r.array_of_tables(root, "service"))
			for (const toml::node &node : *list) {
				services.push_back(read_service(
					r, *node.as_table(), target_lines));
				service_lines.push_back(r.line_of(node));
			}
		if (services.empty())
			r.fail_at_line(ERR_EMPTY, 1, "add a [[service]]",
				       "the document has no service");
	} catch (...) {
		for (service_t &s : services) {
			free(s.classes);
			free(s.targets);
		}
		throw;
	}
	lines.version = r.line_of(*root.get("version"));
	lines.services = service_lines.data();
	lines.targets = target_lines.data();
	if (config_assemble(r.file, (uint64_t)version, to_c_array(services),
			    services.size(), &lines, out, r.err) < 0)
		throw read_error();
}

void read_peers(reader &r, const toml::table &root, settings_t *out)
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
	out->peers = to_c_array(peers);
}

void read_limits(reader &r, const toml::table &root, settings_t *out)
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

void read_settings(reader &r, const toml::table &root, settings_t *out)
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
void read_relay_peers(reader &r, const toml::table &root, relay_settings_t *out)
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

void read_warmup_overage(reader &r, const toml::table &root, double *out)
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

void read_relay_settings(reader &r, const toml::table &root, bool agent,
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

/*
 * Parses the text and passes the root table to read_root. Turns exceptions
 * into errors, because the callers are C.
 */
template <typename F>
int parse_toml(const char *file, const char *text, size_t len, err_t *err,
	       F read_root)
{
	reader r = { file, err };

	if (toml_text_check(file, text, len, err) < 0)
		return -1;
	try {
		toml::table root =
			toml::parse(std::string_view(text, len),
				    std::string_view(file ? file : ""));
		read_root(r, root);
		return 0;
	} catch (const read_error &) {
		return -1;
	} catch (const toml::parse_error &e) {
		return err_set(err, ERR_SYNTAX, file,
			       (int)e.source().begin.line,
			       "correct the TOML at this line", "%s",
			       std::string(e.description()).c_str());
	} catch (const std::logic_error &e) {
		return err_set(err, ERR_SYNTAX, file, 1,
			       "rewrite the document as plain TOML", "%s",
			       e.what());
	} catch (const std::exception &e) {
		return err_set(err, ERR_MEMORY, file, 0, "free memory", "%s",
			       e.what());
	}
}

} // namespace

extern "C" int toml_read_config(const char *file, const char *text, size_t len,
				config_t **out, err_t *err)
{
	return parse_toml(file, text, len, err,
			  [&](reader &r, const toml::table &root) {
				  read_config(r, root, out);
			  });
}

extern "C" int toml_read_settings(const char *file, const char *text,
				  size_t len, settings_t *out, err_t *err)
{
	return parse_toml(file, text, len, err,
			  [&](reader &r, const toml::table &root) {
				  read_settings(r, root, out);
			  });
}

extern "C" int toml_read_relay_settings(const char *file, const char *text,
					size_t len, bool agent, bool strict,
					relay_settings_t *out, err_t *err)
{
	return parse_toml(
		file, text, len, err, [&](reader &r, const toml::table &root) {
			read_relay_settings(r, root, agent, strict, out);
		});
}
