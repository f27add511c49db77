// HTTP/1.1 messages: an incremental, bounded parser and a writer.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace opalroute::net {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct HttpMessage {
  std::string method, target;  // of a request
  int status = 0;              // of an answer
  Headers headers;
  std::string body;
  bool keep_alive = true;

  const std::string* Header(std::string_view name) const;  // whatever its case; the first of that name
  int Count(std::string_view name) const;
};

struct HttpBounds {
  std::size_t head_bytes = 0, header_count = 0, body_bytes = 0;
  int interim_answers = 8;  // in front of an answer
};

class HttpParser {
 public:
  enum class Kind { kRequest, kAnswer };
  HttpParser(Kind kind, const HttpBounds& bounds) : kind_(kind), bounds_(bounds) {}

  // Streamed: each piece of the body goes to `piece` and is neither kept nor counted.
  void StreamTo(std::function<void(std::string_view)> piece) { piece_ = std::move(piece); }

  std::size_t Take(std::string_view bytes);  // returns how many of them belonged to this message
  void TakeEnd();                            // the other side has ended its sending

  bool begun() const { return state_ != State::kStart || !line_.empty(); }
  bool head_done() const { return state_ > State::kHeaders; }
  bool done() const { return state_ == State::kDone; }
  bool failed() const { return state_ == State::kFailed; }
  int reject_status() const { return reject_status_; }  // where failed: what a request is answered
  HttpMessage& message() { return message_; }
  void Reset();  // for the next message

 private:
  // In the order of a message's life; kFailed last.
  enum class State {
    kStart,
    kHeaders,
    kBody,
    kBodyToEnd,
    kChunkSize,
    kChunk,
    kChunkEnd,
    kTrailers,
    kDone,
    kFailed
  };

  void Fail(int status);
  void TakeLine();
  void TakeStartLine();
  void TakeHeader();
  void EndHead();
  void TakeChunkSize();
  std::size_t TakeBody(std::string_view bytes);

  Kind kind_;
  HttpBounds bounds_;
  std::function<void(std::string_view)> piece_;
  State state_ = State::kStart;
  HttpMessage message_;
  std::string line_;
  std::size_t head_bytes_ = 0, left_ = 0;
  bool chunked_ = false, old_version_ = false;
  int interim_ = 0;
  int reject_status_ = 0;
};

std::string WriteRequest(std::string_view method, std::string_view target, const Headers& headers,
                         std::string_view body);
// Seconds as Retry-After has them here: decimal, two places.
std::string WriteSeconds(double seconds);

std::string WriteAnswer(int status, const Headers& headers, std::string_view body);

}  // namespace opalroute::net
