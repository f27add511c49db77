// Minimal functions to transfer HTTP messages over epoll, for the baseline against which the relay's cost is
// measured. They validate nothing and are meant only for well-formed traffic of the laboratory itself.
#pragma once

#include <netinet/in.h>
#include <sys/epoll.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace opalroute::lab::raw {

// The length, head and body, of the message that these bytes begin with; 0 if it is not complete yet.
std::size_t CompleteMessageLength(std::string_view bytes);

// These throw std::system_error.
int Listen(const sockaddr_in& at);   // non-blocking
int Connect(const sockaddr_in& to);  // connects while blocking (immediate on loopback), then non-blocking
void AddToEpoll(int epoll, int fd, void* data);  // for reading, edge-triggered
double Now();                                    // monotonic clock, seconds

// Reads everything available and appends it. False: the other side has closed the connection, or a read
// failed.
bool ReadAll(int fd, std::string& to);
// Writes in one call; the messages here always fit into the socket's buffer. False if not all was written.
bool WriteAll(int fd, std::string_view bytes);

}  // namespace opalroute::lab::raw
