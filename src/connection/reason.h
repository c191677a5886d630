#ifndef CONNECTION_REASON_H
#define CONNECTION_REASON_H

/* Returns the reason phrase of an HTTP status (RFC 9110), an empty one for other statuses. */
const char *reason_phrase(int status);

#endif
