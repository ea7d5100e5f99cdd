#include "refusal.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PREFIX "cherviltray: "
#define AFTER  "; retry-after="

static const char *const words[REFUSALS] = {
	[REFUSAL_NOT_RUN] = "not run",
	[REFUSAL_OUTCOME_UNKNOWN] = "outcome unknown",
};

const char *refusal_name(refusal_t word)
{
	return word < REFUSALS ? words[word] : "unknown";
}

char *refusal_format(refusal_t word, unsigned retry_after_s,
		     char buf[REFUSAL_TEXT])
{
	snprintf(buf, REFUSAL_TEXT, PREFIX "%s" AFTER "%u", refusal_name(word),
		 retry_after_s);
	return buf;
}

int refusal_parse(const char *text, size_t len, refusal_t *word,
		  unsigned *retry_after_s)
{
	char buf[REFUSAL_TEXT], want[REFUSAL_TEXT];
	const char *after;

	if (len >= sizeof(buf))
		return -1;
	memcpy(buf, text, len);
	buf[len] = '\0';
	after = strstr(buf, AFTER);
	if (!after)
		return -1;
	*retry_after_s = (unsigned)strtoul(after + strlen(AFTER), NULL, 10);
	for (int w = 0; w < REFUSALS; w++) {
		refusal_format((refusal_t)w, *retry_after_s, want);
		if (!strcmp(want, buf)) {
			*word = (refusal_t)w;
			return 0;
		}
	}
	return -1;
}
