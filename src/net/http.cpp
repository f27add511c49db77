#include "net/http.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdio>

namespace opalroute::net {
namespace {

constexpr std::size_t kKeptLineBytes = 1024;  // of the line buffer, for the next message

// ASCII only and independent of the locale: header names have no other letters (RFC 9110, 5.1).
char ToLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return ToLower(x) == ToLower(y); });
}

bool IsTokenChar(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenChar);
}

bool IsPrintable(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char c) {
    const auto u = static_cast<unsigned char>(c);
    return (u < 0x20 && c != '\t') || u == 0x7f;
  });
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool ParseNumber(std::string_view text, int base, std::size_t& number) {
  if (text.empty() || text.size() > 18) return false;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
  return error == std::errc() && end == text.data() + text.size();
}

bool MayBeginResponse(std::string_view line) {
  constexpr std::string_view kPrefix = "HTTP/1.";
  return line.substr(0, kPrefix.size()) == kPrefix.substr(0, line.size());
}

const char* ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

void AppendFields(std::string& text, const Headers& headers, std::string_view body) {
  for (const auto& [name, value] : headers) text.append(name).append(": ").append(value).append("\r\n");
  text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
}

}  // namespace

const std::string* HttpMessage::Header(std::string_view name) const {
  for (const auto& [key, value] : headers)
    if (EqualsIgnoreCase(key, name)) return &value;
  return nullptr;
}

int HttpMessage::Count(std::string_view name) const {
  return static_cast<int>(std::count_if(headers.begin(), headers.end(), [name](const auto& header) {
    return EqualsIgnoreCase(header.first, name);
  }));
}

void HttpParser::Reset() {
  state_ = State::kStart;
  message_ = HttpMessage();
  line_.clear();
  if (line_.capacity() > kKeptLineBytes) line_.shrink_to_fit();
  head_bytes_ = remaining_ = field_bytes_ = 0;
  chunked_ = http_1_0_ = false;
  interim_count_ = 0;
  reject_status_ = 0;
}

std::size_t HttpParser::HeldBytes() const {
  return line_.capacity() + message_.body.capacity() + message_.target.capacity() + field_bytes_;
}

void HttpParser::Fail(int status) {
  state_ = State::kFailed;
  reject_status_ = status;
}

std::size_t HttpParser::Parse(std::string_view bytes) {
  std::size_t consumed = 0;
  while (consumed < bytes.size() && !done() && !failed()) {
    const std::string_view rest = bytes.substr(consumed);
    if (state_ == State::kBody || state_ == State::kBodyUntilClose || state_ == State::kChunk) {
      consumed += ParseBody(rest);
      continue;
    }
    const std::size_t end = rest.find('\n');
    const std::size_t count = end == std::string_view::npos ? rest.size() : end + 1;
    consumed += count;
    head_bytes_ += count;
    if (head_bytes_ > bounds_.head_bytes) {
      Fail(431);
      break;
    }
    line_.append(rest.substr(0, count));
    if (state_ == State::kStart && kind_ == Kind::kResponse && !MayBeginResponse(line_)) {
      Fail(400);  // not HTTP: a line end may never arrive
      break;
    }
    if (end == std::string_view::npos) break;
    if (line_.size() < 2 || line_[line_.size() - 2] != '\r') {
      line_.pop_back();
      if (state_ == State::kStart && kind_ == Kind::kResponse) ParseStartLine();  // keeps the status
      Fail(400);  // a bare LF: recipients could disagree on where the message ends
      break;
    }
    line_.resize(line_.size() - 2);
    ParseLine();
    line_.clear();
  }
  return consumed;
}

void HttpParser::HandleEndOfInput() {
  if (state_ == State::kBodyUntilClose) {
    state_ = State::kDone;
  } else if (!done() && !failed()) {
    Fail(400);
  }
}

void HttpParser::ParseLine() {
  switch (state_) {
    case State::kStart:
      if (!line_.empty()) ParseStartLine();  // empty lines before a request are ignored
      break;
    case State::kHeaders:
      if (line_.empty()) {
        FinishHead();
      } else {
        ParseHeader();
      }
      break;
    case State::kChunkSize:
      ParseChunkSize();
      break;
    case State::kChunkEnd:
      if (!line_.empty()) return Fail(400);
      head_bytes_ = 0;
      state_ = State::kChunkSize;
      break;
    default:  // trailers are parsed and discarded
      if (line_.empty()) state_ = State::kDone;
      break;
  }
}

void HttpParser::ParseStartLine() {
  const std::string_view line = line_;
  const std::size_t first = line.find(' ');
  if (first == std::string_view::npos || !IsPrintable(line)) return Fail(400);
  std::string_view version = line.substr(0, first);
  if (kind_ == Kind::kRequest) {
    const std::size_t second = line.find(' ', first + 1);
    if (second == std::string_view::npos || !IsToken(version)) return Fail(400);
    message_.method = version;
    message_.target = line.substr(first + 1, second - first - 1);
    if (message_.target.empty()) return Fail(400);
    version = line.substr(second + 1);
  } else {
    std::size_t status = 0;
    if (!ParseNumber(line.substr(first + 1, 3), 10, status) || status < 100 || status > 599 ||
        (line.size() > first + 4 && line[first + 4] != ' '))
      return Fail(400);
    if (version != "HTTP/1.1" && version != "HTTP/1.0") return Fail(400);
    message_.status = static_cast<int>(status);
  }
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return Fail(400);
  http_1_0_ = version == "HTTP/1.0";
  state_ = State::kHeaders;
}

void HttpParser::ParseHeader() {
  const std::string_view line = line_;
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon)) || !IsPrintable(line))
    return Fail(400);
  if (message_.headers.size() >= bounds_.header_count) return Fail(431);
  const auto& [name, value] =
      message_.headers.emplace_back(line.substr(0, colon), Trim(line.substr(colon + 1)));
  field_bytes_ += sizeof(Headers::value_type) + name.capacity() + value.capacity();
}

void HttpParser::FinishHead() {
  bool has_length = false;
  std::size_t length = 0;
  message_.keep_alive = !http_1_0_;
  for (const auto& [name, value] : message_.headers) {
    if (EqualsIgnoreCase(name, "Content-Length")) {
      std::size_t number = 0;
      if (has_length || !ParseNumber(value, 10, number)) return Fail(400);
      has_length = true;
      length = number;
    } else if (EqualsIgnoreCase(name, "Transfer-Encoding")) {
      if (chunked_) return Fail(400);
      if (!EqualsIgnoreCase(value, "chunked")) return Fail(501);
      chunked_ = true;
    } else if (EqualsIgnoreCase(name, "Connection")) {
      if (EqualsIgnoreCase(value, "close")) message_.keep_alive = false;
      if (EqualsIgnoreCase(value, "keep-alive")) message_.keep_alive = true;
    }
  }
  if (chunked_ && has_length) return Fail(400);  // recipients could disagree on where the message ends
  const int status = message_.status;
  const bool interim = kind_ == Kind::kResponse && status < 200;
  if (interim || status == 204 || status == 304) {
    if (interim) {
      const int count = interim_count_ + 1;
      if (count > bounds_.max_interim_responses) return Fail(400);
      Reset();
      interim_count_ = count;
      return;
    }
    state_ = State::kDone;
  } else if (chunked_) {
    head_bytes_ = 0;
    state_ = State::kChunkSize;
  } else if (has_length || kind_ == Kind::kRequest) {
    if (length > bounds_.body_bytes) return Fail(413);
    remaining_ = length;
    state_ = length > 0 ? State::kBody : State::kDone;
  } else {
    message_.keep_alive = false;
    state_ = State::kBodyUntilClose;
  }
}

void HttpParser::ParseChunkSize() {
  const std::string_view size = Trim(std::string_view(line_).substr(0, line_.find(';')));
  if (!ParseNumber(size, 16, remaining_)) return Fail(400);
  if (remaining_ == 0) {
    state_ = State::kTrailers;
  } else if (!on_body_ && remaining_ > bounds_.body_bytes - message_.body.size()) {
    Fail(413);
  } else {
    state_ = State::kChunk;
  }
}

// Doubles the space as it is needed, as an append would, but beyond neither the stated length nor the limit.
void HttpParser::AppendToBody(std::string_view bytes) {
  std::string& body = message_.body;
  const std::size_t size = body.size() + bytes.size();
  if (size > body.capacity()) {
    const std::size_t largest = state_ == State::kBody ? body.size() + remaining_ : bounds_.body_bytes;
    std::string grown;
    grown.reserve(std::max(size, std::min(largest, 2 * body.capacity())));
    grown.append(body);
    body = std::move(grown);
  }
  body.append(bytes);
}

std::size_t HttpParser::ParseBody(std::string_view bytes) {
  const bool until_close = state_ == State::kBodyUntilClose;
  const std::size_t count = until_close ? bytes.size() : std::min(remaining_, bytes.size());
  if (on_body_) {
    on_body_(bytes.substr(0, count));
  } else if (until_close && count > bounds_.body_bytes - message_.body.size()) {
    Fail(413);
    return count;
  } else {
    AppendToBody(bytes.substr(0, count));
  }
  if (until_close) return count;
  remaining_ -= count;
  if (remaining_ == 0) {
    state_ = state_ == State::kChunk ? State::kChunkEnd : State::kDone;
    head_bytes_ = 0;
  }
  return count;
}

std::string FormatRequest(std::string_view method, std::string_view target, const Headers& headers,
                          std::string_view body) {
  std::string text;
  text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  AppendFields(text, headers, body);
  return text;
}

std::string FormatSeconds(double seconds) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f", seconds);
  return text;
}

std::string FormatResponse(int status, const Headers& headers, std::string_view body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " " + ReasonPhrase(status) + "\r\n";
  AppendFields(text, headers, body);
  return text;
}

}  // namespace opalroute::net
