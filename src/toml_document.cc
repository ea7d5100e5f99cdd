#include "toml_document.h"
#include "toml_reader.h"
#include "toml_text.h"
#include <algorithm>
#include <cctype>
#include <cstring>

int toml_document::line_of(const toml::node &node)
{
	int line = (int)node.source().begin.line;

	return line > 0 ? line : 1;
}

void toml_document::fail(err_kind_t kind, const toml::node &at,
			 const char *remedy, const std::string &what)
{
	fail_at_line(kind, line_of(at), remedy, what);
}

void toml_document::fail_at_line(err_kind_t kind, int line, const char *remedy,
				 const std::string &what)
{
	err_set(err, kind, file, line, remedy, "%s", what.c_str());
	throw toml_read_error();
}

/* Calls unknown(name, node) for each key that is not in known. */
template <typename F>
static void each_unknown_key(const toml::table &table,
			     toml_document::keys known, F unknown)
{
	for (const auto &entry : table) {
		bool found = false;

		for (auto name : known)
			found = found || entry.first.str() == name;
		if (!found)
			unknown(std::string(entry.first.str()), entry.second);
	}
}

void toml_document::check_keys(const toml::table &table, keys known)
{
	each_unknown_key(table, known,
			 [&](const std::string &name, const toml::node &node) {
				 fail(ERR_UNKNOWN_KEY, node,
				      "remove it or correct its spelling",
				      "unknown key \"" + name + "\"");
			 });
}

void toml_document::list_unknown_keys(const toml::table &table, keys known,
				      char *list, size_t size)
{
	std::string names;

	each_unknown_key(
		table, known, [&](const std::string &name, const toml::node &) {
			names += names.empty() ? "" : " ";
			for (unsigned char c : name)
				names += isalnum(c) || c == '_' || c == '-'
						 ? (char)c
						 : '?';
		});
	names.resize(std::min(names.size(), size - 1));
	memcpy(list, names.c_str(), names.size() + 1);
}

/* Returns the value of a key; NULL: absent and not required. */
const toml::node *toml_document::get(const toml::table &table, const char *key,
				     bool required)
{
	const toml::node *node = table.get(key);

	if (!node && required)
		fail(ERR_MISSING, table, "add it",
		     "key \"" + std::string(key) + "\" is missing");
	return node;
}

bool toml_document::string(const toml::table &table, const char *key,
			   bool required, char *out, size_t size)
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
		     ("use 1 to " + std::to_string(size - 1) + " characters")
			     .c_str(),
		     "\"" + std::string(key) + "\" is empty or too long");
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

bool toml_document::integer(const toml::table &table, const char *key,
			    bool required, int64_t min, int64_t max,
			    int64_t *out)
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
		     ("use a number from " + std::to_string(min) + " to " +
		      std::to_string(max))
			     .c_str(),
		     "\"" + std::string(key) + "\" is " + std::to_string(*out));
	return true;
}

bool toml_document::boolean(const toml::table &table, const char *key,
			    bool required, bool *out)
{
	const toml::node *node = get(table, key, required);

	if (!node)
		return false;
	if (!node->is_boolean())
		fail(ERR_TYPE, *node, "write true or false",
		     "\"" + std::string(key) + "\" must be true or false");
	*out = node->as_boolean()->get();
	return true;
}

bool toml_document::real(const toml::table &table, const char *key, double min,
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
		     ("use a number from " + std::to_string(min) + " to " +
		      std::to_string(max))
			     .c_str(),
		     "\"" + std::string(key) + "\" is out of range");
	return true;
}

bool toml_document::address(const toml::table &table, const char *key,
			    bool required, endpoint_t *out)
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

const toml::array *toml_document::array_of_tables(const toml::table &table,
						  const char *key)
{
	const toml::node *node = table.get(key);

	if (!node)
		return nullptr;
	if (!node->is_array_of_tables())
		fail(ERR_TYPE, *node,
		     ("write it as [[" + std::string(key) + "]]").c_str(),
		     "\"" + std::string(key) + "\" must be an array of tables");
	return node->as_array();
}

int toml_document_parse(
	const char *file, const char *text, size_t len, err_t *err,
	const std::function<void(toml_document &, const toml::table &)>
		&read_root)
{
	toml_document document = { file, err };

	if (toml_text_check(file, text, len, err) < 0)
		return -1;
	try {
		toml::table root =
			toml::parse(std::string_view(text, len),
				    std::string_view(file ? file : ""));
		read_root(document, root);
		return 0;
	} catch (const toml_read_error &) {
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
