// A fault injection library that is preloaded into a relay process (LD_PRELOAD) and makes its system calls
// fail according to a plan, with errors that their manual pages document. The relay itself is not aware of
// it.
//
// Each function here overrides the C library function of the same name and forwards to it. Where an error
// means that the connection is broken, the socket is shut down before the error is returned, so that both
// sides see the same state from then on. Only connections that the process has opened itself are broken, and
// only while they hold no unread bytes: what the other side regards as delivered was delivered, so the
// auditor, outside the process, can rely on its own records.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

#include "lab/faults/descriptors.h"
#include "lab/faults/plan.h"
#include "lab/faults/request_recorder.h"

namespace {

using opalroute::lab::faults::ClockStep;
using opalroute::lab::faults::Episode;
using opalroute::lab::faults::IsTracked;
using opalroute::lab::faults::kMaxDescriptors;
using opalroute::lab::faults::kPlanVariable;
using opalroute::lab::faults::Plan;
using opalroute::lab::faults::RequestRecorder;
using opalroute::lab::faults::SystemCall;

template <typename Function>
Function* NextSymbol(const char* name) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}
#define NEXT(function) static auto* const next = NextSymbol<decltype(function)>(#function)

double Monotonic() {
  static auto* const next = NextSymbol<decltype(clock_gettime)>("clock_gettime");
  timespec now{};
  next(CLOCK_MONOTONIC, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

class FaultInjector {
 public:
  FaultInjector() : start_(Monotonic()) {
    if (const char* text = std::getenv(kPlanVariable)) plan_ = Plan::Parse(text);
    random_state_ = plan_.seed * 2 + 1;
  }

  const Plan& plan() const { return plan_; }
  double now() const { return Monotonic() - start_; }
  // The first episode that makes this call fail now, or null.
  const Episode* ActiveFault(SystemCall call) {
    if (plan_.episodes.empty()) return nullptr;
    const double now = this->now();
    for (const Episode& e : plan_.episodes)
      if (e.call == call && now >= e.from && now < e.to && Uniform() < e.probability) return &e;
    return nullptr;
  }
  bool IsInStateFolder(const char* path) const {
    return !plan_.state_folder.empty() &&
           std::strncmp(path, plan_.state_folder.c_str(), plan_.state_folder.size()) == 0;
  }
  // Sets whether the descriptor is an open file of the state folder.
  void SetStateFile(int fd, bool is_state_file) {
    if (IsTracked(fd)) is_state_file_[static_cast<std::size_t>(fd)] = is_state_file;
  }
  // Sets whether the descriptor is a connection that the process has accepted.
  void SetAccepted(int fd, bool accepted) {
    if (IsTracked(fd)) accepted_[static_cast<std::size_t>(fd)] = accepted;
  }
  bool IsAccepted(int fd) const { return IsTracked(fd) && accepted_[static_cast<std::size_t>(fd)]; }
  bool IsStateFile(int fd) const { return IsTracked(fd) && is_state_file_[static_cast<std::size_t>(fd)]; }

 private:
  // A linear congruential generator (Knuth's constants): uniform enough for this purpose, and lock-free. From
  // 0 to below 1.
  double Uniform() {
    std::uint64_t state = random_state_.load();
    while (!random_state_.compare_exchange_weak(state, state * 6364136223846793005U + 1442695040888963407U)) {
    }
    return static_cast<double>(state >> 11U) / static_cast<double>(1ULL << 53U);
  }

  Plan plan_;
  const double start_;
  std::atomic<std::uint64_t> random_state_{1};
  std::array<std::atomic<bool>, kMaxDescriptors> is_state_file_{}, accepted_{};
};

FaultInjector& Injector() {
  // Never destroyed: system calls are made until the process ends.
  static auto* const injector = new FaultInjector;
  return *injector;
}

RequestRecorder& Recorder() {
  static auto* const recorder = new RequestRecorder(Injector().plan().requests_read);
  return *recorder;
}

// Returns true, with errno set, if the plan makes this call fail now.
bool InjectError(SystemCall call) {
  const Episode* e = Injector().ActiveFault(call);
  if (e == nullptr || e->error == 0) return false;
  errno = e->error;
  return true;
}

bool IsConnectionLoss(int error) {
  return error == ETIMEDOUT || error == EHOSTUNREACH || error == ECONNRESET;
}

// Whether the connection is open and holds no unread bytes.
bool HasNothingToRead(int fd) {
  static auto* const next = NextSymbol<decltype(recv)>("recv");
  char byte = 0;
  return next(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

// For a read or write: returns true, with errno set, if the plan makes it fail now. Reduces `size` if the
// plan cuts it short.
bool InjectTransferFault(int fd, SystemCall call, std::size_t& size) {
  const Episode* e = Injector().ActiveFault(call);
  if (e == nullptr) return false;
  if (e->error == 0) {
    size = std::min(size, static_cast<std::size_t>(e->max_bytes));
    return false;
  }
  if (IsConnectionLoss(e->error)) {
    if (Injector().IsAccepted(fd) || !HasNothingToRead(fd)) return false;
    shutdown(fd, SHUT_RDWR);
  }
  errno = e->error;
  return true;
}

std::size_t TotalSize(const iovec* buffers, std::size_t count) {
  std::size_t size = 0;
  for (std::size_t i = 0; i < count; ++i) size += buffers[i].iov_len;
  return size;
}

// The first `size` bytes of the buffers; covers at most the first two of them.
std::array<iovec, 2> FirstBytes(const iovec* buffers, std::size_t count, std::size_t size) {
  std::array<iovec, 2> first{};
  for (std::size_t i = 0; i < count && i < first.size(); ++i) {
    first[i] = buffers[i];
    first[i].iov_len = std::min(size, buffers[i].iov_len);
    size -= first[i].iov_len;
  }
  return first;
}

}  // namespace

extern "C" {

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  NEXT(accept4);
  if (InjectError(SystemCall::kAccept)) return -1;
  const int accepted = next(fd, address, size, flags);
  Injector().SetAccepted(accepted, true);
  Recorder().OnAccepted(accepted);
  return accepted;
}

int socket(int domain, int type, int protocol) {
  NEXT(socket);
  return InjectError(SystemCall::kSocket) ? -1 : next(domain, type, protocol);
}

// A connect() that fails with EINTR continues in the background (connect(2)), so it is made nevertheless.
int connect(int fd, const sockaddr* address, socklen_t size) {
  NEXT(connect);
  const Episode* e = Injector().ActiveFault(SystemCall::kConnect);
  if (e == nullptr) return next(fd, address, size);
  if (e->error == EINTR && next(fd, address, size) < 0 && errno != EINPROGRESS) return -1;
  errno = e->error;
  return -1;
}

int epoll_wait(int epoll, epoll_event* events, int max_events, int milliseconds) {
  NEXT(epoll_wait);
  return InjectError(SystemCall::kWait) ? -1 : next(epoll, events, max_events, milliseconds);
}

ssize_t readv(int fd, const iovec* buffers, int count) {
  NEXT(readv);
  const auto buffer_count = static_cast<std::size_t>(count);
  std::size_t size = TotalSize(buffers, buffer_count);
  if (InjectTransferFault(fd, SystemCall::kSocketRead, size)) return -1;
  const auto first = FirstBytes(buffers, buffer_count, size);
  const int first_count = std::min(count, static_cast<int>(first.size()));
  const ssize_t bytes = next(fd, first.data(), first_count);
  if (bytes > 0) Recorder().OnRead(fd, first.data(), first_count, static_cast<std::size_t>(bytes));
  return bytes;
}

ssize_t recv(int fd, void* bytes, std::size_t size, int flags) {
  NEXT(recv);
  return InjectTransferFault(fd, SystemCall::kSocketRead, size) ? -1 : next(fd, bytes, size, flags);
}

// Connections are read by readv() and recv(). Other descriptors (mostly the signalfd) are only interrupted by
// EINTR; files of the state folder are not even that.
ssize_t read(int fd, void* bytes, std::size_t size) {
  NEXT(read);
  const Episode* e = Injector().IsStateFile(fd) ? nullptr : Injector().ActiveFault(SystemCall::kWait);
  if (e != nullptr && e->error == EINTR) {
    errno = EINTR;
    return -1;
  }
  return next(fd, bytes, size);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  NEXT(sendmsg);
  std::size_t size = TotalSize(message->msg_iov, message->msg_iovlen);
  if (InjectTransferFault(fd, SystemCall::kSocketWrite, size)) return -1;
  auto first = FirstBytes(message->msg_iov, message->msg_iovlen, size);
  msghdr copy = *message;
  copy.msg_iov = first.data();
  copy.msg_iovlen = std::min(message->msg_iovlen, first.size());
  return next(fd, &copy, flags);
}

ssize_t sendto(int fd, const void* bytes, std::size_t size, int flags, const sockaddr* to,
               socklen_t to_size) {
  NEXT(sendto);
  return InjectError(SystemCall::kSendDatagram) ? -1 : next(fd, bytes, size, flags, to, to_size);
}

int open(const char* path, int flags, ...) {
  NEXT(open);
  va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = (flags & O_CREAT) != 0 ? va_arg(arguments, mode_t) : 0;
  va_end(arguments);
  const bool is_state_file = Injector().IsInStateFolder(path);
  if (is_state_file && InjectError(SystemCall::kFileOpen)) return -1;
  const int fd = next(path, flags, mode);
  Injector().SetStateFile(fd, is_state_file);
  return fd;
}

ssize_t pread(int fd, void* bytes, std::size_t size, off_t at) {
  NEXT(pread);
  return Injector().IsStateFile(fd) && InjectTransferFault(fd, SystemCall::kFileRead, size)
             ? -1
             : next(fd, bytes, size, at);
}

ssize_t pwrite(int fd, const void* bytes, std::size_t size, off_t at) {
  NEXT(pwrite);
  return Injector().IsStateFile(fd) && InjectTransferFault(fd, SystemCall::kFileWrite, size)
             ? -1
             : next(fd, bytes, size, at);
}

int ftruncate(int fd, off_t size) noexcept {
  NEXT(ftruncate);
  return Injector().IsStateFile(fd) && InjectError(SystemCall::kFileTruncate) ? -1 : next(fd, size);
}

int rename(const char* from, const char* to) noexcept {
  NEXT(rename);
  return Injector().IsInStateFolder(to) && InjectError(SystemCall::kFileRename) ? -1 : next(from, to);
}

int close(int fd) {
  NEXT(close);
  Injector().SetStateFile(fd, false);
  Injector().SetAccepted(fd, false);
  Recorder().OnClosed(fd);
  return next(fd);
}

int clock_gettime(clockid_t clock, timespec* time) noexcept {
  NEXT(clock_gettime);
  const int result = next(clock, time);
  if (result != 0 || clock != CLOCK_REALTIME) return result;
  const double now = Injector().now();
  for (const ClockStep& step : Injector().plan().clock_steps)
    if (now >= step.at) time->tv_sec += static_cast<time_t>(step.shift);
  return result;
}

}  // extern "C"
