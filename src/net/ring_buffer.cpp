#include "net/ring_buffer.h"

#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <cstring>
#include <utility>
#include <vector>

namespace opalroute::net {

namespace {
constexpr std::size_t kInitialCapacity = 4096;  // a typical message fits
constexpr std::size_t kMaxSpareBlocks = 64;     // of kInitialCapacity, kept for reuse: 256 kB

// A buffer allocates and releases its block with every message, and the allocator is slow for blocks of this
// size (docs/measurements/capacity.md).
std::vector<std::unique_ptr<char[]>>& SpareBlocks() {
  thread_local std::vector<std::unique_ptr<char[]>> spare;
  return spare;
}

std::unique_ptr<char[]> TakeBlock(std::size_t capacity) {
  auto& spare = SpareBlocks();
  if (capacity != kInitialCapacity || spare.empty()) return std::unique_ptr<char[]>(new char[capacity]);
  std::unique_ptr<char[]> block = std::move(spare.back());
  spare.pop_back();
  return block;
}

void ReleaseBlock(std::unique_ptr<char[]> block, std::size_t capacity) {
  if (block && capacity == kInitialCapacity && SpareBlocks().size() < kMaxSpareBlocks)
    SpareBlocks().push_back(std::move(block));
}
}  // namespace

RingBuffer::~RingBuffer() { ReleaseBlock(std::move(bytes_), capacity_); }

std::string_view RingBuffer::Front() const {
  return {bytes_.get() + begin_, std::min(size_, capacity_ - begin_)};
}

void RingBuffer::Consume(std::size_t count) {
  count = std::min(count, size_);
  size_ -= count;
  if (size_ > 0) {
    begin_ = (begin_ + count) % capacity_;
  } else {
    ReleaseBlock(std::move(bytes_), capacity_);
    begin_ = capacity_ = 0;
  }
}

void RingBuffer::Reserve(std::size_t capacity) {
  capacity = std::min(capacity, max_size_);
  if (capacity <= capacity_) return;
  auto bytes = TakeBlock(capacity);
  const std::string_view front = Front();
  if (!front.empty()) std::memcpy(bytes.get(), front.data(), front.size());
  if (size_ > front.size()) std::memcpy(bytes.get() + front.size(), bytes_.get(), size_ - front.size());
  ReleaseBlock(std::move(bytes_), capacity_);
  bytes_ = std::move(bytes);
  capacity_ = capacity;
  begin_ = 0;
}

bool RingBuffer::Append(std::string_view bytes) {
  if (bytes.empty()) return true;
  if (bytes.size() > max_size_ - size_) return false;
  if (size_ + bytes.size() > capacity_)
    Reserve(std::max({kInitialCapacity, 2 * capacity_, size_ + bytes.size()}));
  const std::size_t end = (begin_ + size_) % capacity_;
  const std::size_t first = std::min(bytes.size(), capacity_ - end);
  std::memcpy(bytes_.get() + end, bytes.data(), first);
  std::memcpy(bytes_.get(), bytes.data() + first, bytes.size() - first);
  size_ += bytes.size();
  return true;
}

std::size_t RingBuffer::NextCapacity() const {
  if (size_ < capacity_) return capacity_;
  return std::min(max_size_, std::max(kInitialCapacity, 2 * capacity_));
}

ssize_t RingBuffer::ReadFrom(int fd) {
  Reserve(NextCapacity());
  const std::size_t end = (begin_ + size_) % capacity_;
  const std::size_t free_bytes = capacity_ - size_, first = std::min(free_bytes, capacity_ - end);
  iovec parts[2] = {{bytes_.get() + end, first}, {bytes_.get(), free_bytes - first}};
  const ssize_t count = readv(fd, parts, 2);
  if (count > 0) size_ += static_cast<std::size_t>(count);
  return count;
}

ssize_t RingBuffer::WriteTo(int fd) {
  const std::string_view front = Front();
  iovec parts[2] = {{bytes_.get() + begin_, front.size()}, {bytes_.get(), size_ - front.size()}};
  msghdr message{};
  message.msg_iov = parts;
  message.msg_iovlen = 2;
  const ssize_t count = sendmsg(fd, &message, MSG_NOSIGNAL);
  if (count > 0) Consume(static_cast<std::size_t>(count));
  return count;
}

}  // namespace opalroute::net
