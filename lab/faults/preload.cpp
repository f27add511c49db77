// A library that is preloaded into a relay's process (LD_PRELOAD) and makes its system calls fail as a plan
// says, in ways that their manual pages document. Test equipment: the program knows nothing of it.
//
// Each function stands before the C library's one of its name and hands on to that. A connection that is said
// to be broken is broken: it is shut down before its error is told, so that both sides see the same from then
// on. Only connections that the process has opened break, and no bytes that have arrived are lost with them:
// what the other side has seen delivered was delivered, and an auditor outside can go by its records.
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
#include "lab/faults/requests_read.h"

namespace {

using opalroute::lab::faults::Call;
using opalroute::lab::faults::ClockStep;
using opalroute::lab::faults::Episode;
using opalroute::lab::faults::IsFollowed;
using opalroute::lab::faults::kDescriptors;
using opalroute::lab::faults::kPlanVariable;
using opalroute::lab::faults::Plan;
using opalroute::lab::faults::RequestsRead;

template <typename Function>
Function* Next(const char* name) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}
#define NEXT(function) static auto* const next = Next<decltype(function)>(#function)

double Monotonic() {
  static auto* const next = Next<decltype(clock_gettime)>("clock_gettime");
  timespec now{};
  next(CLOCK_MONOTONIC, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

class Faults {
 public:
  Faults() : start_(Monotonic()) {
    if (const char* text = std::getenv(kPlanVariable)) plan_ = Plan::Read(text);
    state_ = plan_.seed * 2 + 1;
  }

  const Plan& plan() const { return plan_; }
  double now() const { return Monotonic() - start_; }
  // What strikes this call now, or null.
  const Episode* Strike(Call call) {
    if (plan_.episodes.empty()) return nullptr;
    const double now = this->now();
    for (const Episode& e : plan_.episodes)
      if (e.call == call && now >= e.from && now < e.to && Unit() < e.chance) return &e;
    return nullptr;
  }
  bool InFolder(const char* path) const {
    return !plan_.folder.empty() && std::strncmp(path, plan_.folder.c_str(), plan_.folder.size()) == 0;
  }
  // Files of the state folder that are open, by descriptor.
  void Opened(int fd, bool of_state) {
    if (IsFollowed(fd)) of_state_[static_cast<std::size_t>(fd)] = of_state;
  }
  // Connections that have been accepted, by descriptor.
  void Accepted(int fd, bool accepted) {
    if (IsFollowed(fd)) accepted_[static_cast<std::size_t>(fd)] = accepted;
  }
  bool IsAccepted(int fd) const { return IsFollowed(fd) && accepted_[static_cast<std::size_t>(fd)]; }
  bool OfState(int fd) const { return IsFollowed(fd) && of_state_[static_cast<std::size_t>(fd)]; }

 private:
  // A linear congruential generator (Knuth's constants) is even enough for this, and needs no lock.
  double Unit() {
    std::uint64_t state = state_.load();
    while (!state_.compare_exchange_weak(state, state * 6364136223846793005U + 1442695040888963407U)) {
    }
    return static_cast<double>(state >> 11U) / static_cast<double>(1ULL << 53U);
  }

  Plan plan_;
  const double start_;
  std::atomic<std::uint64_t> state_{1};
  std::array<std::atomic<bool>, kDescriptors> of_state_{}, accepted_{};
};

Faults& All() {
  static auto* const faults = new Faults;  // never ended: calls come until the process does
  return *faults;
}

RequestsRead& Requests() {
  static auto* const requests = new RequestsRead(All().plan().requests_read);
  return *requests;
}

// Fails the call with an error of its plan's; `broken`: that error says the connection is no more.
bool Fails(Call call) {
  const Episode* e = All().Strike(call);
  if (e == nullptr || e->error == 0) return false;
  errno = e->error;
  return true;
}

bool IsBreak(int error) { return error == ETIMEDOUT || error == EHOSTUNREACH || error == ECONNRESET; }

// Whether nothing has arrived on a connection that could be read.
bool IsEmpty(int fd) {
  static auto* const next = Next<decltype(recv)>("recv");
  char byte = 0;
  return next(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

// Of a call on a connection: true if it fails, with errno set. `most` shrinks where it is cut short.
bool FailsOn(int fd, Call call, std::size_t& most) {
  const Episode* e = All().Strike(call);
  if (e == nullptr) return false;
  if (e->error == 0) {
    most = std::min(most, static_cast<std::size_t>(e->bytes));
    return false;
  }
  if (IsBreak(e->error)) {
    if (All().IsAccepted(fd) || !IsEmpty(fd)) return false;
    shutdown(fd, SHUT_RDWR);
  }
  errno = e->error;
  return true;
}

std::size_t SizeOf(const iovec* parts, std::size_t count) {
  std::size_t size = 0;
  for (std::size_t i = 0; i < count; ++i) size += parts[i].iov_len;
  return size;
}

// The first bytes of the parts, in at most two.
std::array<iovec, 2> Shortened(const iovec* parts, std::size_t count, std::size_t most) {
  std::array<iovec, 2> shorter{};
  for (std::size_t i = 0; i < count && i < shorter.size(); ++i) {
    shorter[i] = parts[i];
    shorter[i].iov_len = std::min(most, parts[i].iov_len);
    most -= shorter[i].iov_len;
  }
  return shorter;
}

}  // namespace

extern "C" {

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  NEXT(accept4);
  if (Fails(Call::kAccept)) return -1;
  const int accepted = next(fd, address, size, flags);
  All().Accepted(accepted, true);
  Requests().Accepted(accepted);
  return accepted;
}

int socket(int domain, int type, int protocol) {
  NEXT(socket);
  return Fails(Call::kSocket) ? -1 : next(domain, type, protocol);
}

// Interrupted, it goes on all the same (connect(2)).
int connect(int fd, const sockaddr* address, socklen_t size) {
  NEXT(connect);
  const Episode* e = All().Strike(Call::kConnect);
  if (e == nullptr) return next(fd, address, size);
  if (e->error == EINTR && next(fd, address, size) < 0 && errno != EINPROGRESS) return -1;
  errno = e->error;
  return -1;
}

int epoll_wait(int epoll, epoll_event* events, int most, int milliseconds) {
  NEXT(epoll_wait);
  return Fails(Call::kWait) ? -1 : next(epoll, events, most, milliseconds);
}

ssize_t readv(int fd, const iovec* parts, int count) {
  NEXT(readv);
  const auto pieces = static_cast<std::size_t>(count);
  std::size_t most = SizeOf(parts, pieces);
  if (FailsOn(fd, Call::kRead, most)) return -1;
  const auto shorter = Shortened(parts, pieces, most);
  const int shorter_count = std::min(count, static_cast<int>(shorter.size()));
  const ssize_t bytes = next(fd, shorter.data(), shorter_count);
  if (bytes > 0) Requests().Read(fd, shorter.data(), shorter_count, static_cast<std::size_t>(bytes));
  return bytes;
}

ssize_t recv(int fd, void* bytes, std::size_t size, int flags) {
  NEXT(recv);
  return FailsOn(fd, Call::kRead, size) ? -1 : next(fd, bytes, size, flags);
}

// Of signals, mostly: descriptors that are no connections are interrupted, and no more.
ssize_t read(int fd, void* bytes, std::size_t size) {
  NEXT(read);
  const Episode* e = All().OfState(fd) ? nullptr : All().Strike(Call::kWait);
  if (e != nullptr && e->error == EINTR) {
    errno = EINTR;
    return -1;
  }
  return next(fd, bytes, size);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  NEXT(sendmsg);
  std::size_t most = SizeOf(message->msg_iov, message->msg_iovlen);
  if (FailsOn(fd, Call::kWrite, most)) return -1;
  auto shorter = Shortened(message->msg_iov, message->msg_iovlen, most);
  msghdr copy = *message;
  copy.msg_iov = shorter.data();
  copy.msg_iovlen = std::min(message->msg_iovlen, shorter.size());
  return next(fd, &copy, flags);
}

ssize_t sendto(int fd, const void* bytes, std::size_t size, int flags, const sockaddr* to,
               socklen_t to_size) {
  NEXT(sendto);
  return Fails(Call::kSend) ? -1 : next(fd, bytes, size, flags, to, to_size);
}

int open(const char* path, int flags, ...) {
  NEXT(open);
  va_list rest;
  va_start(rest, flags);
  const mode_t mode = (flags & O_CREAT) != 0 ? va_arg(rest, mode_t) : 0;
  va_end(rest);
  const bool of_state = All().InFolder(path);
  if (of_state && Fails(Call::kOpen)) return -1;
  const int fd = next(path, flags, mode);
  All().Opened(fd, of_state);
  return fd;
}

ssize_t pread(int fd, void* bytes, std::size_t size, off_t at) {
  NEXT(pread);
  return All().OfState(fd) && FailsOn(fd, Call::kLoad, size) ? -1 : next(fd, bytes, size, at);
}

ssize_t pwrite(int fd, const void* bytes, std::size_t size, off_t at) {
  NEXT(pwrite);
  return All().OfState(fd) && FailsOn(fd, Call::kStore, size) ? -1 : next(fd, bytes, size, at);
}

int ftruncate(int fd, off_t size) noexcept {
  NEXT(ftruncate);
  return All().OfState(fd) && Fails(Call::kCut) ? -1 : next(fd, size);
}

int rename(const char* from, const char* to) noexcept {
  NEXT(rename);
  return All().InFolder(to) && Fails(Call::kRename) ? -1 : next(from, to);
}

int close(int fd) {
  NEXT(close);
  All().Opened(fd, false);
  All().Accepted(fd, false);
  Requests().Closed(fd);
  return next(fd);
}

int clock_gettime(clockid_t clock, timespec* time) noexcept {
  NEXT(clock_gettime);
  const int result = next(clock, time);
  if (result != 0 || clock != CLOCK_REALTIME) return result;
  const double now = All().now();
  for (const ClockStep& step : All().plan().steps)
    if (now >= step.at) time->tv_sec += static_cast<time_t>(step.by);
  return result;
}

}  // extern "C"
