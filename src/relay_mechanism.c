#include "relay_mechanism.h"
#include <glib.h>

#ifdef TEST_BUILD

uint32_t relay_mechanisms_off;

void relay_mechanisms_read_environment(void)
{
	const char *text = g_getenv("RELAY_MECHANISMS_OFF");

	if (text)
		relay_mechanisms_off =
			(uint32_t)g_ascii_strtoull(text, NULL, 10);
}

#endif
