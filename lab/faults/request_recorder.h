// Records the ids of the requests that a process has read from its clients' connections, by parsing the bytes
// of its socket reads. Part of the preloaded library.
#pragma once

#include <sys/uio.h>

#include <array>
#include <cstddef>
#include <memory>
#include <string>

#include "lab/faults/descriptors.h"
#include "net/http.h"

namespace opalroute::lab::faults {

class RequestRecorder {
 public:
  // `path`: the file to which request ids are appended; empty: nothing is recorded.
  explicit RequestRecorder(const std::string& path);

  void OnAccepted(int fd);
  void OnClosed(int fd);
  // `bytes` bytes have been read from the descriptor into these buffers.
  void OnRead(int fd, const iovec* buffers, int count, std::size_t bytes);

 private:
  void Parse(net::HttpParser& parser, std::string_view bytes);
  void Record(const net::HttpMessage& request);

  int file_ = -1;
  std::array<std::unique_ptr<net::HttpParser>, kMaxDescriptors>
      parsers_;  // by descriptor; null unless it is a client's connection
};

}  // namespace opalroute::lab::faults
