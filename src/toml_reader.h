#ifndef TOML_READER_H
#define TOML_READER_H

/*
 * toml_reader - reads TOML text into the C structures of configuration and
 * settings
 *
 * toml_config.cc and toml_settings.cc, with toml_document.cc, are the only
 * files that use the C++ TOML library. C++ exceptions become an err_t. All
 * functions read len bytes of text, use the file name in errors only, and
 * return 0, or -1 and the error with its line.
 */

#ifdef __cplusplus
extern "C" {
#endif

#include "config.h"
#include "relay_settings.h"
#include "settings.h"

/* On success out has one reference. */
int toml_read_config(const char *file, const char *text, size_t len,
		     config_t **out, err_t *err);

/*
 * Reads the keys of out->role; members of optional keys that are absent stay
 * as they are. Key files are named, but not read.
 */
int toml_read_settings(const char *file, const char *text, size_t len,
		       settings_t *out, err_t *err);

/*
 * Like toml_read_settings(); agent selects the keys that agents require. Unless
 * strict is set, unknown keys are listed in out->unknown_keys and passed over.
 */
int toml_read_relay_settings(const char *file, const char *text, size_t len,
			     bool agent, bool strict, relay_settings_t *out,
			     err_t *err);

#ifdef __cplusplus
}
#endif

#endif
