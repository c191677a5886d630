/* Operators' HTTP calls: status, configuration, plans, confirmations, events and metrics. */
#ifndef REQUEST_OPREQ_H
#define REQUEST_OPREQ_H

#include "process/node.h"

/* Answers a request on the operators' port, at once or later. `node` is a struct node. */
void opreq_on_http(void *node, struct ingress_request *req);

#endif
