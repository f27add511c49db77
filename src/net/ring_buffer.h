// A bounded ring of bytes that takes memory only while it holds something.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <memory>
#include <string_view>

namespace opalroute::net {

class RingBuffer {
 public:
  explicit RingBuffer(std::size_t most) : most_(most) {}
  ~RingBuffer();
  RingBuffer(const RingBuffer&) = delete;
  RingBuffer& operator=(const RingBuffer&) = delete;

  std::size_t most() const { return most_; }
  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  bool full() const { return size_ >= most_; }
  std::string_view Front() const;  // the first bytes, as far as they lie side by side
  void Consume(std::size_t count);
  bool Append(std::string_view bytes);  // all or, where there is no room for all, nothing

  // One system call each; what it returned. ReadFrom needs a ring that is not full.
  ssize_t ReadFrom(int fd);
  ssize_t WriteTo(int fd);

 private:
  void Reserve(std::size_t capacity);

  std::size_t most_, capacity_ = 0, begin_ = 0, size_ = 0;
  std::unique_ptr<char[]> bytes_;
};

}  // namespace opalroute::net
