#include "lab/faults/request_recorder.h"

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

// Uses the raw system calls: the library's own open() and write() are subject to the injected faults.
RequestRecorder::RequestRecorder(const std::string& path) {
  if (path.empty()) return;
  file_ = static_cast<int>(
      syscall(SYS_openat, AT_FDCWD, path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, kFileMode));
}

void RequestRecorder::OnAccepted(int fd) {
  if (file_ < 0 || !IsTracked(fd)) return;
  parsers_[static_cast<std::size_t>(fd)] =
      std::make_unique<net::HttpParser>(net::HttpParser::Kind::kRequest, kBounds);
}

void RequestRecorder::OnClosed(int fd) {
  if (IsTracked(fd)) parsers_[static_cast<std::size_t>(fd)].reset();
}

void RequestRecorder::OnRead(int fd, const iovec* buffers, int count, std::size_t bytes) {
  if (!IsTracked(fd)) return;
  net::HttpParser* parser = parsers_[static_cast<std::size_t>(fd)].get();
  if (parser == nullptr) return;
  for (int i = 0; i < count && bytes > 0; ++i) {
    const std::size_t size = std::min(bytes, buffers[i].iov_len);
    Parse(*parser, {static_cast<const char*>(buffers[i].iov_base), size});
    bytes -= size;
  }
}

void RequestRecorder::Parse(net::HttpParser& parser, std::string_view bytes) {
  while (!bytes.empty() && !parser.failed()) {
    bytes.remove_prefix(parser.Parse(bytes));
    if (!parser.done()) continue;
    Record(parser.message());
    parser.Reset();
  }
}

void RequestRecorder::Record(const net::HttpMessage& request) {
  const std::string* id = request.Header("X-Txn");
  if (id == nullptr) return;
  const std::string line = *id + "\n";
  syscall(SYS_write, file_, line.data(), line.size());
}

}  // namespace opalroute::lab::faults
