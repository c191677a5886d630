/* Exponential backoff of attempts. */
#ifndef BASE_BACKOFF_H
#define BASE_BACKOFF_H

#include "base/clk.h"

/*
 * Returns the pause before the next attempt after `attempts` without success: `first`, doubled with
 * each attempt after the first, at most `max`.
 */
static inline clk_ms backoff_ms(clk_ms first, clk_ms max, unsigned attempts)
{
	clk_ms pause = first;

	while (attempts > 1 && pause < max) {
		pause *= 2;
		attempts--;
	}
	return pause < max ? pause : max;
}

#endif
