// A bounded ring buffer of bytes that holds memory only while it is not empty.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <memory>
#include <string_view>

namespace opalroute::net {

class RingBuffer {
 public:
  explicit RingBuffer(std::size_t max_size) : max_size_(max_size) {}
  ~RingBuffer();
  RingBuffer(const RingBuffer&) = delete;
  RingBuffer& operator=(const RingBuffer&) = delete;

  std::size_t max_size() const { return max_size_; }
  std::size_t size() const { return size_; }
  std::size_t capacity() const { return capacity_; }  // bytes allocated
  std::size_t NextCapacity() const;                   // once ReadFrom has been called
  bool empty() const { return size_ == 0; }
  bool full() const { return size_ >= max_size_; }
  std::string_view Front() const;  // the first bytes, up to where the storage wraps around
  void Consume(std::size_t count);
  bool Append(std::string_view bytes);  // all of them, or none (false) if they do not fit

  // One system call each, and its result. ReadFrom requires a buffer that is not full.
  ssize_t ReadFrom(int fd);
  ssize_t WriteTo(int fd);

 private:
  void Reserve(std::size_t capacity);

  std::size_t max_size_, capacity_ = 0, begin_ = 0, size_ = 0;
  std::unique_ptr<char[]> bytes_;
};

}  // namespace opalroute::net
