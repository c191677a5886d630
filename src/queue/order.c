#include "queue/order.h"

#include "base/mutant.h"

bool order_precedes(const struct order_rank *x, const struct order_rank *y)
{
	if (x->priority != y->priority)
		return x->priority < y->priority;
	if (x->late != y->late && !MUTANT(order_late_first))
		return y->late;
	if (x->due != y->due)
		return x->due < y->due;
	return x->seq < y->seq;
}
