#ifndef TOML_DOCUMENT_H
#define TOML_DOCUMENT_H

/*
 * toml_document - reads the keys of a TOML document, with errors that name the
 * line
 *
 * For the C++ files that fill in the C structures of toml_reader.h. Failures
 * set the error and throw; toml_document_parse() catches them.
 */

#include <stdexcept>

/* Invalid text can fail an assertion in the library: throw instead of abort. */
[[noreturn]] inline void toml_assertion_failed()
{
	throw std::logic_error("document is not valid TOML");
}

#define TOML_ASSERT(cond) ((cond) ? (void)0 : toml_assertion_failed())
#define TOML_EXCEPTIONS	  1
#include <toml++/toml.h>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

extern "C" {
#include "endpoint.h"
#include "err.h"
}

/* Thrown once toml_document::err is set. */
struct toml_read_error {
};

struct toml_document {
	using keys = std::initializer_list<std::string_view>;

	const char *file; /* named in errors only */
	err_t *err;

	/* First line of a node; 1 for the document itself. */
	static int line_of(const toml::node &node);

	[[noreturn]] void fail(err_kind_t kind, const toml::node &at,
			       const char *remedy, const std::string &what);
	[[noreturn]] void fail_at_line(err_kind_t kind, int line,
				       const char *remedy,
				       const std::string &what);

	/* Fails when the table has a key that is not in known. */
	void check_keys(const toml::table &table, keys known);
	/* Appends the names of keys that are not in known to `list`, as far as
	 * it has room, separated by spaces. Other characters than those of
	 * bare keys become '?'. */
	static void list_unknown_keys(const toml::table &table, keys known,
				      char *list, size_t size);

	/*
	 * Each reads a value of one type. They return false and leave *out as
	 * it is when an optional key is absent.
	 */
	bool string(const toml::table &table, const char *key, bool required,
		    char *out, size_t size);
	bool integer(const toml::table &table, const char *key, bool required,
		     int64_t min, int64_t max, int64_t *out);
	bool boolean(const toml::table &table, const char *key, bool required,
		     bool *out);
	bool real(const toml::table &table, const char *key, double min,
		  double max, double *out);
	/* Reads an address with a port. */
	bool address(const toml::table &table, const char *key, bool required,
		     endpoint_t *out);

	/* Returns the tables of an optional key, or NULL when it is absent. */
	const toml::array *array_of_tables(const toml::table &table,
					   const char *key);

      private:
	const toml::node *get(const toml::table &table, const char *key,
			      bool required);
};

/* Copies a vector to memory that C code releases with free(). */
template <typename T> T *toml_to_c_array(const std::vector<T> &from)
{
	T *to = (T *)calloc(from.size() + 1, sizeof(T));

	if (!to)
		throw std::bad_alloc();
	if (!from.empty())
		memcpy(to, from.data(), from.size() * sizeof(T));
	return to;
}

/*
 * Parses len bytes of text and passes the root table to read_root. Returns 0,
 * or -1 and the error, since the callers of toml_reader.h are C.
 */
int toml_document_parse(
	const char *file, const char *text, size_t len, err_t *err,
	const std::function<void(toml_document &, const toml::table &)>
		&read_root);

#endif
