#ifndef TOML_READER_H
#define TOML_READER_H

/*
 * toml_reader - the only file that uses the C++ TOML library
 *
 * Turns text into the plain structures of config.h and settings.h. No C++
 * exception leaves it.
 */

#ifdef __cplusplus
extern "C" {
#endif

#include "config.h"
#include "relay_settings.h"
#include "settings.h"

int toml_read_config(const char *file, const char *text, size_t len,
		     config_t **out, err_t *err);

/* Reads all but the key itself. */
int toml_read_settings(const char *file, const char *text, size_t len,
		       settings_t *out, err_t *err);

int toml_read_relay_settings(const char *file, const char *text, size_t len,
			     bool agent, relay_settings_t *out, err_t *err);

#ifdef __cplusplus
}
#endif

#endif
