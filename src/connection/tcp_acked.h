/* How much of what was written to a TCP connection its peer has received. */
#ifndef CONNECTION_TCP_ACKED_H
#define CONNECTION_TCP_ACKED_H

#include <stdint.h>

/* Returns the bytes that the peer has acknowledged since it connected, 0 if that is not known. */
uint64_t tcp_acked_bytes(int fd);

#endif
