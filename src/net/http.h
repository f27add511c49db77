// HTTP/1.1 messages: an incremental parser with size limits, and functions that format messages.
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
  std::string method, target;  // request only
  int status = 0;              // response only
  Headers headers;
  std::string body;
  bool keep_alive = true;

  const std::string* Header(
      std::string_view name) const;  // the first of that name, ignoring case; or nullptr
  int Count(std::string_view name) const;
};

struct HttpBounds {
  std::size_t head_bytes = 0, header_count = 0, body_bytes = 0;
  int max_interim_responses = 8;  // 1xx responses before the final one
};

class HttpParser {
 public:
  enum class Kind { kRequest, kResponse };
  HttpParser(Kind kind, const HttpBounds& bounds) : kind_(kind), bounds_(bounds) {}

  // Passes the body to `on_body` in parts instead of storing it. Chunked bodies and those that end with the
  // connection are then unlimited; a Content-Length above body_bytes is still rejected.
  void StreamBodyTo(std::function<void(std::string_view)> on_body) { on_body_ = std::move(on_body); }

  std::size_t Parse(std::string_view bytes);  // returns how many bytes belong to this message
  void HandleEndOfInput();                    // the peer has closed its side

  bool begun() const { return state_ != State::kStart || !line_.empty(); }
  bool head_done() const { return state_ > State::kHeaders; }
  bool done() const { return state_ == State::kDone; }
  bool failed() const { return state_ == State::kFailed; }
  int reject_status() const { return reject_status_; }  // if failed(): the status to reject a request with
  HttpMessage& message() { return message_; }
  void Reset();                   // for the next message
  std::size_t HeldBytes() const;  // allocated for the message so far, roughly

 private:
  // In the order in which a message passes through them; kFailed last.
  enum class State {
    kStart,
    kHeaders,
    kBody,
    kBodyUntilClose,
    kChunkSize,
    kChunk,
    kChunkEnd,
    kTrailers,
    kDone,
    kFailed
  };

  void Fail(int status);
  void AppendToBody(std::string_view bytes);
  void ParseLine();
  void ParseStartLine();
  void ParseHeader();
  void FinishHead();
  void ParseChunkSize();
  std::size_t ParseBody(std::string_view bytes);

  Kind kind_;
  HttpBounds bounds_;
  std::function<void(std::string_view)> on_body_;
  State state_ = State::kStart;
  HttpMessage message_;
  std::string line_;
  std::size_t head_bytes_ = 0, remaining_ = 0;
  std::size_t field_bytes_ = 0;  // of the header fields of `message_`
  bool chunked_ = false, http_1_0_ = false;
  int interim_count_ = 0;
  int reject_status_ = 0;
};

std::string FormatRequest(std::string_view method, std::string_view target, const Headers& headers,
                          std::string_view body);
// Formats seconds for Retry-After: decimal, with two places.
std::string FormatSeconds(double seconds);

std::string FormatResponse(int status, const Headers& headers, std::string_view body);

}  // namespace opalroute::net
