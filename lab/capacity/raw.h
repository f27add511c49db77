// The barest way to move HTTP messages over epoll: what the relay's cost is held against. Well-formed traffic
// of the laboratory's own only; it checks nothing.
#pragma once

#include <netinet/in.h>
#include <sys/epoll.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace opalroute::lab::raw {

// The length of the first whole message in these bytes, head and body; 0: it is not whole yet.
std::size_t WholeMessage(std::string_view bytes);

// Throw std::system_error.
int Listen(const sockaddr_in& at);          // non-blocking
int Connect(const sockaddr_in& to);         // connects at once, as loopback does; then non-blocking
void Watch(int epoll, int fd, void* data);  // for reading, edge-triggered
double Now();                               // monotonic seconds

// Reads all there is and appends it. False: the other side has ended.
bool ReadAll(int fd, std::string& to);
// Writes what fits into the socket at once; the messages here always do. False: it did not.
bool WriteAll(int fd, std::string_view bytes);

}  // namespace opalroute::lab::raw
