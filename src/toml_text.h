#ifndef TOML_TEXT_H
#define TOML_TEXT_H

/*
 * toml_text - keeps text from the TOML library that it cannot bear
 *
 * The library's behaviour is undefined when a character behind ASCII stands
 * outside strings and comments. Such text is no valid TOML; it is refused here,
 * with bytes that are no UTF-8 and with strings of several lines, which no
 * document of ours needs.
 */

#include "err.h"

#ifdef __cplusplus
extern "C" {
#endif

int toml_text_check(const char *file, const char *text, size_t len, err_t *err);

#ifdef __cplusplus
}
#endif

#endif
