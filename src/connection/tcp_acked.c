#include "connection/tcp_acked.h"

#include <linux/tcp.h> /* the C library's struct tcp_info lacks the member */
#include <netinet/in.h>
#include <stddef.h>
#include <sys/socket.h>

uint64_t tcp_acked_bytes(int fd)
{
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0 ||
	    len < offsetof(struct tcp_info, tcpi_bytes_acked) + sizeof(info.tcpi_bytes_acked))
		return 0;
	return info.tcpi_bytes_acked;
}
