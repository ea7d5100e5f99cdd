#ifndef TOML_TEXT_H
#define TOML_TEXT_H

/*
 * toml_text - checks text before it is passed to the TOML library
 *
 * The library's behaviour is undefined when a non-ASCII character occurs
 * outside strings and comments. Such text is not valid TOML and is rejected
 * here. So are invalid UTF-8 and multi-line strings, which configuration and
 * settings files do not need.
 */

#include "err.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Returns 0, or -1 and ERR_SYNTAX with the line of the first fault. */
int toml_text_check(const char *file, const char *text, size_t len, err_t *err);

#ifdef __cplusplus
}
#endif

#endif
