#include "refusal.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PREFIX	    "cherviltray: "
#define RETRY_AFTER "; retry-after="

static const char *const reason_texts[REFUSALS] = {
	[REFUSAL_NOT_RUN] = "not run",
	[REFUSAL_OUTCOME_UNKNOWN] = "outcome unknown",
};

const char *refusal_name(refusal_t reason)
{
	return reason < REFUSALS ? reason_texts[reason] : "unknown";
}

char *refusal_format(refusal_t reason, unsigned retry_after_s,
		     char buf[REFUSAL_TEXT_MAX])
{
	snprintf(buf, REFUSAL_TEXT_MAX, PREFIX "%s" RETRY_AFTER "%u",
		 refusal_name(reason), retry_after_s);
	return buf;
}

int refusal_parse(const char *text, size_t len, refusal_t *reason,
		  unsigned *retry_after_s)
{
	char buf[REFUSAL_TEXT_MAX], expected[REFUSAL_TEXT_MAX];
	const char *retry_after;

	if (len >= sizeof(buf))
		return -1;
	memcpy(buf, text, len);
	buf[len] = '\0';
	retry_after = strstr(buf, RETRY_AFTER);
	if (!retry_after)
		return -1;
	*retry_after_s =
		(unsigned)strtoul(retry_after + strlen(RETRY_AFTER), NULL, 10);
	for (int i = 0; i < REFUSALS; i++) {
		refusal_format((refusal_t)i, *retry_after_s, expected);
		if (!strcmp(expected, buf)) {
			*reason = (refusal_t)i;
			return 0;
		}
	}
	return -1;
}
