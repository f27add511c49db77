#include "discovery/list_watch.h"

#include <utility>

#include "discovery/endpoint_list_parser.h"
#include "log/log.h"
#include "net/address.h"

namespace opalroute {

using nlohmann::json;

namespace {

constexpr char kWhitespace[] = " \r\t\n";

// Whether `text` is a JSON object or the beginning of one.
bool IsObjectPrefix(const std::string& text) {
  if (text[text.find_first_not_of(kWhitespace)] != '{') return false;
  try {
    return json::parse(text).is_object();
  } catch (const json::parse_error& error) {
    return error.byte > text.size();  // the error is at the end of the text: more could follow
  }
}

net::HttpBounds BoundsOf(const Limits& limits) {
  return {limits.head_bytes, limits.header_count, limits.endpoint_list_bytes};
}

}  // namespace

const char* NameOf(WatchEndReason reason) {
  switch (reason) {
    case WatchEndReason::kNotConnected:
      return "no connection";
    case WatchEndReason::kTimedOut:
      return "silent";
    case WatchEndReason::kUnreadableLine:
      return "unreadable line";
    case WatchEndReason::kNotHttp:
      return "invalid HTTP response";
    case WatchEndReason::kRejected:
      return "refused";
    case WatchEndReason::kResponseEnded:
      return "ended";
    case WatchEndReason::kConnectionClosed:
      return "connection closed";
  }
  return "";
}

ListWatch::ListWatch(net::EventLoop& loop, const sockaddr_in& address, std::optional<long long> since,
                     const Limits& limits, net::MemoryBudget* memory, Handler& handler)
    : loop_(loop),
      address_(address),
      since_(since),
      limits_(limits),
      handler_(handler),
      parser_(net::HttpParser::Kind::kResponse, BoundsOf(limits)),
      timer_(loop) {
  parser_.StreamBodyTo([this](std::string_view chunk) { ReadChunk(chunk); });
  const net::ConnectionBounds bounds{limits_.head_bytes, limits_.head_bytes, 0, memory,
                                     net::MemoryOwner::kDiscovery};
  connection_ = net::Connection::Connect(loop_, address_, *this, bounds);
  StartLineTimeout(connection_ ? limits_.platform_response_timeout : 0);
}

ListWatch::~ListWatch() { Close(); }

void ListWatch::Close() {
  timer_.Cancel();
  if (connection_) connection_->Close();
  loop_.Retire(std::move(connection_));
}

void ListWatch::StartLineTimeout(net::Seconds timeout) {
  timer_.Start(loop_.Now() + timeout,
               [this] { End(connection_ ? WatchEndReason::kTimedOut : WatchEndReason::kNotConnected); });
}

void ListWatch::End(WatchEndReason reason) {
  Close();
  handler_.OnWatchEnded(*this, reason);
}

void ListWatch::OnOpen(net::Connection& connection) {
  const std::string since = since_ ? "&since=" + std::to_string(*since_) : "";
  connection.Write(net::FormatRequest("GET", "/registry/instances?follow=1" + since,
                                      {{"Host", net::FormatAddress(address_)}}, ""));
}

void ListWatch::OnData(net::Connection& connection) {
  net::RingBuffer& in = connection.in();
  while (!in.empty() && !parser_.done() && !parser_.failed() && !unreadable_) {
    in.Consume(parser_.Parse(in.Front()));
  }
  DeliverLines();
  if (!connection_) return;
  if (unreadable_) return End(WatchEndReason::kUnreadableLine);
  if (parser_.failed()) return End(WatchEndReason::kNotHttp);
  if (parser_.head_done() && parser_.message().status != 200) return End(WatchEndReason::kRejected);
  if (parser_.done()) return End(WatchEndReason::kResponseEnded);
}

// The handler may close this watch in any of these callbacks.
void ListWatch::DeliverLines() {
  for (const Line& line : std::exchange(lines_, {})) {
    if (!connection_) return;
    if (line) {
      handler_.OnWatchUpdate(*this, *line);
    } else {
      handler_.OnWatchHeartbeat(*this);
    }
  }
}

void ListWatch::OnClosed(net::Connection&, net::Connection::CloseReason) {
  End(WatchEndReason::kConnectionClosed);
}

// A line may be split across chunks at any byte. An empty line or a complete object restarts the line
// timeout; lines of an unfinished object do not.
void ListWatch::ReadChunk(std::string_view chunk) {
  if (parser_.message().status != 200) return;
  while (!chunk.empty() && !unreadable_) {
    const std::size_t end = chunk.find('\n');
    object_text_.append(chunk.substr(0, end));
    if (object_text_.size() > limits_.endpoint_list_bytes) unreadable_ = true;
    if (end == std::string_view::npos) return;
    chunk.remove_prefix(end + 1);
    ReadLine();
  }
}

// An object may be indented over several lines, so a line need not complete one.
void ListWatch::ReadLine() {
  const std::size_t last = object_text_.find_last_not_of(kWhitespace);
  if (last == std::string::npos) return ReadCompleteLine(nullptr);
  json list;
  if (object_text_[last] == '}') list = json::parse(object_text_, nullptr, false);
  if (list.is_object()) return ReadCompleteLine(&list);
  CheckUnfinishedObject();
  object_text_ += '\n';
}

// `list` is the JSON object, or null for a heartbeat.
void ListWatch::ReadCompleteLine(const json* list) {
  StartLineTimeout(limits_.watch_silence_timeout);
  object_text_.clear();
  checked_bytes_ = 0;
  Line line;
  if (list != nullptr) line = ParseEndpointList(*list);
  unreadable_ = list != nullptr && !line;
  if (!unreadable_) lines_.push_back(std::move(line));
}

// Parses the text only when its size has doubled: parsing it at every line would take quadratic time.
void ListWatch::CheckUnfinishedObject() {
  if (object_text_.size() < 2 * checked_bytes_) return;
  unreadable_ = !IsObjectPrefix(object_text_);
  checked_bytes_ = object_text_.size();
  if (unreadable_)
    log::Warn("endpoint_list_unreadable", {{"bytes", object_text_.size()}, {"why", "invalid JSON"}});
}

}  // namespace opalroute
