#include "err.h"
#include <stdarg.h>
#include <stdio.h>

static const char *const names[] = {
	[ERR_NONE] = "none",
	[ERR_USAGE] = "usage",
	[ERR_IO] = "io",
	[ERR_SYNTAX] = "syntax",
	[ERR_UNKNOWN_KEY] = "unknown-key",
	[ERR_TYPE] = "wrong-type",
	[ERR_RANGE] = "out-of-range",
	[ERR_DUPLICATE] = "duplicate",
	[ERR_MISSING] = "missing",
	[ERR_EMPTY] = "empty",
	[ERR_VERSION] = "version-not-higher",
	[ERR_SIZE] = "too-large",
	[ERR_AUTH] = "authentication",
	[ERR_PROTOCOL] = "protocol",
	[ERR_TIMEOUT] = "timeout",
	[ERR_MEMORY] = "memory",
};

int err_set(err_t *err, err_kind_t kind, const char *file, int line,
	    const char *remedy, const char *what, ...)
{
	va_list ap;

	if (!err)
		return -1;
	err->kind = kind;
	err->line = line;
	snprintf(err->file, sizeof(err->file), "%s", file ? file : "");
	snprintf(err->remedy, sizeof(err->remedy), "%s", remedy);
	va_start(ap, what);
	vsnprintf(err->what, sizeof(err->what), what, ap);
	va_end(ap);
	return -1;
}

const char *err_kind_name(err_kind_t kind)
{
	if ((size_t)kind >= sizeof(names) / sizeof(names[0]))
		return "unknown";
	return names[kind];
}

char *err_format(const err_t *err, char *buf, size_t size)
{
	const char *kind = err_kind_name(err->kind);

	if (err->file[0] && err->line > 0)
		snprintf(buf, size, "%s:%d: %s: %s; %s", err->file, err->line,
			 kind, err->what, err->remedy);
	else if (err->file[0])
		snprintf(buf, size, "%s: %s: %s; %s", err->file, kind,
			 err->what, err->remedy);
	else
		snprintf(buf, size, "%s: %s; %s", kind, err->what, err->remedy);
	return buf;
}
