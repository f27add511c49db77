#include "lab/faults/requests_read.h"

#include <fcntl.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <string_view>

namespace opalroute::lab::faults {

namespace {

constexpr net::HttpBounds kBounds{16 * 1024, 64, 64 * 1024};
constexpr int kFileMode = 0644;

}  // namespace

// By number: the library's own open and write may fail as planned.
RequestsRead::RequestsRead(const std::string& path) {
  if (path.empty()) return;
  file_ = static_cast<int>(
      syscall(SYS_openat, AT_FDCWD, path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, kFileMode));
}

void RequestsRead::Accepted(int fd) {
  if (file_ < 0 || !IsFollowed(fd)) return;
  parsers_[static_cast<std::size_t>(fd)] =
      std::make_unique<net::HttpParser>(net::HttpParser::Kind::kRequest, kBounds);
}

void RequestsRead::Closed(int fd) {
  if (IsFollowed(fd)) parsers_[static_cast<std::size_t>(fd)].reset();
}

void RequestsRead::Read(int fd, const iovec* parts, int count, std::size_t bytes) {
  if (!IsFollowed(fd)) return;
  net::HttpParser* parser = parsers_[static_cast<std::size_t>(fd)].get();
  if (parser == nullptr) return;
  for (int i = 0; i < count && bytes > 0; ++i) {
    const std::size_t part = std::min(bytes, parts[i].iov_len);
    Take(*parser, {static_cast<const char*>(parts[i].iov_base), part});
    bytes -= part;
  }
}

void RequestsRead::Take(net::HttpParser& parser, std::string_view bytes) {
  while (!bytes.empty() && !parser.failed()) {
    bytes.remove_prefix(parser.Parse(bytes));
    if (!parser.done()) continue;
    Record(parser.message());
    parser.Reset();
  }
}

void RequestsRead::Record(const net::HttpMessage& request) {
  const std::string* id = request.Header("X-Txn");
  if (id == nullptr) return;
  const std::string line = *id + "\n";
  syscall(SYS_write, file_, line.data(), line.size());
}

}  // namespace opalroute::lab::faults
