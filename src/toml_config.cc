#include "toml_document.h"
#include "toml_reader.h"
#include <cmath>
#include <cstring>
#include <vector>

namespace
{

uint8_t read_protocol(toml_document &r, const toml::table &table)
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

class_t read_class(toml_document &r, const toml::table &table)
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

void read_weight(toml_document &r, const toml::table &table, target_t *t)
{
	/*
	 * The canonical text has six decimal places. Rounding here makes the
	 * weight the same for peers that received the canonical text.
	 */
	if (r.real(table, "weight", WEIGHT_MIN, WEIGHT_MAX, &t->weight))
		t->weight = std::round(t->weight * 1e6) / 1e6;
}

/* Reads the keys that targets and [service.defaults] have in common. */
void read_shared_keys(toml_document &r, const toml::table &table,
		      target_defaults &d, bool required, target_t *t)
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

target_defaults read_defaults(toml_document &r, const toml::table &service)
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

target_t read_target(toml_document &r, const toml::table &table,
		     target_defaults d)
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

void check_class(toml_document &r, const toml::node &at, const service_t &s,
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

service_t read_service(toml_document &r, const toml::table &table,
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
	s.classes = toml_to_c_array(classes);
	s.targets = toml_to_c_array(targets);
	return s;
}

void read_config(toml_document &r, const toml::table &root, config_t **out)
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
	if (config_assemble(r.file, (uint64_t)version,
			    toml_to_c_array(services), services.size(), &lines,
			    out, r.err) < 0)
		throw toml_read_error();
}

} // namespace

extern "C" int toml_read_config(const char *file, const char *text, size_t len,
				config_t **out, err_t *err)
{
	return toml_document_parse(
		file, text, len, err,
		[&](toml_document &r, const toml::table &root) {
			read_config(r, root, out);
		});
}
