#include "transport/entry/tcp_progress.hpp"

// The C library's <netinet/tcp.h>, which Asio includes, has a shorter tcp_info without
// the counter of acknowledged bytes, so this file includes no Asio header.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace carawayturn::entry
{

std::uint64_t acknowledged_bytes(int socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    return ::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0
               ? info.tcpi_bytes_acked
               : 0;
}

} // namespace carawayturn::entry
