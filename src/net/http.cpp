#include "net/http.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdio>

namespace opalroute::net {
namespace {

// Of ASCII letters: a header's name has no others, and a locale has no say (RFC 9110, 5.1).
char Lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool SameText(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return Lower(x) == Lower(y); });
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

bool ParseWhole(std::string_view text, int base, std::size_t& number) {
  if (text.empty() || text.size() > 18) return false;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
  return error == std::errc() && end == text.data() + text.size();
}

bool MayBeginAnswer(std::string_view line) {
  constexpr std::string_view kBegin = "HTTP/1.";
  return line.substr(0, kBegin.size()) == kBegin.substr(0, line.size());
}

const char* Reason(int status) {
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
    if (SameText(key, name)) return &value;
  return nullptr;
}

int HttpMessage::Count(std::string_view name) const {
  return static_cast<int>(std::count_if(headers.begin(), headers.end(),
                                        [name](const auto& header) { return SameText(header.first, name); }));
}

void HttpParser::Reset() {
  state_ = State::kStart;
  message_ = HttpMessage();
  line_.clear();
  head_bytes_ = left_ = 0;
  chunked_ = old_version_ = false;
  interim_ = 0;
  reject_status_ = 0;
}

void HttpParser::Fail(int status) {
  state_ = State::kFailed;
  reject_status_ = status;
}

std::size_t HttpParser::Take(std::string_view bytes) {
  std::size_t taken = 0;
  while (taken < bytes.size() && !done() && !failed()) {
    const std::string_view rest = bytes.substr(taken);
    if (state_ == State::kBody || state_ == State::kBodyToEnd || state_ == State::kChunk) {
      taken += TakeBody(rest);
      continue;
    }
    const std::size_t end = rest.find('\n');
    const std::size_t count = end == std::string_view::npos ? rest.size() : end + 1;
    taken += count;
    head_bytes_ += count;
    if (head_bytes_ > bounds_.head_bytes) {
      Fail(431);
      break;
    }
    line_.append(rest.substr(0, count));
    if (state_ == State::kStart && kind_ == Kind::kAnswer && !MayBeginAnswer(line_)) {
      Fail(400);  // noise may never bring a line's end
      break;
    }
    if (end == std::string_view::npos) break;
    if (line_.size() < 2 || line_[line_.size() - 2] != '\r') {
      line_.pop_back();
      if (state_ == State::kStart && kind_ == Kind::kAnswer) TakeStartLine();  // its status still counts
      Fail(400);  // a bare line feed: two readers could see two messages
      break;
    }
    line_.resize(line_.size() - 2);
    TakeLine();
    line_.clear();
  }
  return taken;
}

void HttpParser::TakeEnd() {
  if (state_ == State::kBodyToEnd) {
    state_ = State::kDone;
  } else if (!done() && !failed()) {
    Fail(400);
  }
}

void HttpParser::TakeLine() {
  switch (state_) {
    case State::kStart:
      if (!line_.empty()) TakeStartLine();  // a stray empty line before a request is passed over
      break;
    case State::kHeaders:
      if (line_.empty()) {
        EndHead();
      } else {
        TakeHeader();
      }
      break;
    case State::kChunkSize:
      TakeChunkSize();
      break;
    case State::kChunkEnd:
      if (!line_.empty()) return Fail(400);
      head_bytes_ = 0;
      state_ = State::kChunkSize;
      break;
    default:  // trailers are read and dropped
      if (line_.empty()) state_ = State::kDone;
      break;
  }
}

void HttpParser::TakeStartLine() {
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
    if (!ParseWhole(line.substr(first + 1, 3), 10, status) || status < 100 || status > 599 ||
        (line.size() > first + 4 && line[first + 4] != ' '))
      return Fail(400);
    if (version != "HTTP/1.1" && version != "HTTP/1.0") return Fail(400);
    message_.status = static_cast<int>(status);
  }
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return Fail(400);
  old_version_ = version == "HTTP/1.0";
  state_ = State::kHeaders;
}

void HttpParser::TakeHeader() {
  const std::string_view line = line_;
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon)) || !IsPrintable(line))
    return Fail(400);
  if (message_.headers.size() >= bounds_.header_count) return Fail(431);
  message_.headers.emplace_back(line.substr(0, colon), Trim(line.substr(colon + 1)));
}

void HttpParser::EndHead() {
  bool has_length = false;
  std::size_t length = 0;
  message_.keep_alive = !old_version_;
  for (const auto& [name, value] : message_.headers) {
    if (SameText(name, "Content-Length")) {
      std::size_t number = 0;
      if (has_length || !ParseWhole(value, 10, number)) return Fail(400);
      has_length = true;
      length = number;
    } else if (SameText(name, "Transfer-Encoding")) {
      if (chunked_) return Fail(400);
      if (!SameText(value, "chunked")) return Fail(501);
      chunked_ = true;
    } else if (SameText(name, "Connection")) {
      if (SameText(value, "close")) message_.keep_alive = false;
      if (SameText(value, "keep-alive")) message_.keep_alive = true;
    }
  }
  if (chunked_ && has_length) return Fail(400);  // two readers could see two messages
  const int status = message_.status;
  const bool interim = kind_ == Kind::kAnswer && status < 200;
  if (interim || status == 204 || status == 304) {
    if (interim) {
      const int count = interim_ + 1;
      if (count > bounds_.interim_answers) return Fail(400);
      Reset();
      interim_ = count;
      return;
    }
    state_ = State::kDone;
  } else if (chunked_) {
    head_bytes_ = 0;
    state_ = State::kChunkSize;
  } else if (has_length || kind_ == Kind::kRequest) {
    if (length > bounds_.body_bytes) return Fail(413);
    left_ = length;
    state_ = length > 0 ? State::kBody : State::kDone;
  } else {
    message_.keep_alive = false;
    state_ = State::kBodyToEnd;
  }
}

void HttpParser::TakeChunkSize() {
  const std::string_view size = Trim(std::string_view(line_).substr(0, line_.find(';')));
  if (!ParseWhole(size, 16, left_)) return Fail(400);
  if (left_ == 0) {
    state_ = State::kTrailers;
  } else if (!piece_ && left_ > bounds_.body_bytes - message_.body.size()) {
    Fail(413);
  } else {
    state_ = State::kChunk;
  }
}

std::size_t HttpParser::TakeBody(std::string_view bytes) {
  const bool to_end = state_ == State::kBodyToEnd;
  const std::size_t count = to_end ? bytes.size() : std::min(left_, bytes.size());
  if (piece_) {
    piece_(bytes.substr(0, count));
  } else if (to_end && count > bounds_.body_bytes - message_.body.size()) {
    Fail(413);
    return count;
  } else {
    message_.body.append(bytes.substr(0, count));
  }
  if (to_end) return count;
  left_ -= count;
  if (left_ == 0) {
    state_ = state_ == State::kChunk ? State::kChunkEnd : State::kDone;
    head_bytes_ = 0;
  }
  return count;
}

std::string WriteRequest(std::string_view method, std::string_view target, const Headers& headers,
                         std::string_view body) {
  std::string text;
  text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  AppendFields(text, headers, body);
  return text;
}

std::string WriteSeconds(double seconds) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f", seconds);
  return text;
}

std::string WriteAnswer(int status, const Headers& headers, std::string_view body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " " + Reason(status) + "\r\n";
  AppendFields(text, headers, body);
  return text;
}

}  // namespace opalroute::net
