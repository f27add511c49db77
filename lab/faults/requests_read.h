// Records which requests a process has read from its clients' connections, as its reads show it. Part of the
// preloaded library.
#pragma once

#include <sys/uio.h>

#include <array>
#include <cstddef>
#include <memory>
#include <string>

#include "lab/faults/descriptors.h"
#include "net/http.h"

namespace opalroute::lab::faults {

class RequestsRead {
 public:
  // `path`: the file that ids are appended to; empty: nothing is recorded.
  explicit RequestsRead(const std::string& path);

  // A client's connection has been accepted, or a descriptor has been closed.
  void Accepted(int fd);
  void Closed(int fd);
  // So many bytes have been read from the descriptor into these parts.
  void Read(int fd, const iovec* parts, int count, std::size_t bytes);

 private:
  void Take(net::HttpParser& parser, std::string_view bytes);
  void Record(const net::HttpMessage& request);

  int file_ = -1;
  std::array<std::unique_ptr<net::HttpParser>, kDescriptors> parsers_;  // of clients' connections
};

}  // namespace opalroute::lab::faults
