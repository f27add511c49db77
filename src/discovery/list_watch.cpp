#include "discovery/list_watch.h"

#include <utility>

#include "discovery/endpoint_list_parser.h"
#include "log/log.h"
#include "net/address.h"

namespace opalroute {

using nlohmann::json;

namespace {

constexpr char kBlanks[] = " \r\t\n";

// Whether more text could make this an object.
bool IsBeginningOfObject(const std::string& text) {
  if (text[text.find_first_not_of(kBlanks)] != '{') return false;
  try {
    return json::parse(text).is_object();
  } catch (const json::parse_error& error) {
    return error.byte > text.size();  // all of it is the beginning of JSON
  }
}

net::HttpBounds BoundsOf(const Limits& limits) {
  return {limits.head_bytes, limits.header_count, limits.list_bytes};
}

}  // namespace

const char* NameOf(WatchEnd reason) {
  switch (reason) {
    case WatchEnd::kNotConnected:
      return "no connection";
    case WatchEnd::kTimedOut:
      return "silent";
    case WatchEnd::kUnreadableLine:
      return "a line can't be read";
    case WatchEnd::kNotHttp:
      return "no HTTP answer";
    case WatchEnd::kRejected:
      return "refused";
    case WatchEnd::kAnswerComplete:
      return "ended";
    case WatchEnd::kConnectionClosed:
      return "connection ended";
  }
  return "";
}

ListWatch::ListWatch(net::EventLoop& loop, const sockaddr_in& address, std::optional<long long> since,
                     const Limits& limits, Handler& handler)
    : loop_(loop),
      address_(address),
      since_(since),
      limits_(limits),
      handler_(handler),
      parser_(net::HttpParser::Kind::kResponse, BoundsOf(limits)),
      timer_(loop) {
  parser_.StreamBodyTo([this](std::string_view chunk) { ReadChunk(chunk); });
  connection_ = net::Connection::Connect(loop_, address_, *this, limits_.head_bytes, limits_.head_bytes);
  ExpectLine(connection_ ? limits_.list_time : 0);
}

ListWatch::~ListWatch() { Close(); }

void ListWatch::Close() {
  timer_.Cancel();
  if (connection_) connection_->Close();
  loop_.Retire(std::move(connection_));
}

void ListWatch::ExpectLine(net::Seconds within) {
  timer_.Start(loop_.Now() + within,
               [this] { End(connection_ ? WatchEnd::kTimedOut : WatchEnd::kNotConnected); });
}

void ListWatch::End(WatchEnd reason) {
  Close();
  handler_.OnWatchEnd(*this, reason);
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
  if (unreadable_) return End(WatchEnd::kUnreadableLine);
  if (parser_.failed()) return End(WatchEnd::kNotHttp);
  if (parser_.head_done() && parser_.message().status != 200) return End(WatchEnd::kRejected);
  if (parser_.done()) return End(WatchEnd::kAnswerComplete);
}

// The handler may close this watch at any line.
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

void ListWatch::OnClosed(net::Connection&, net::Connection::CloseReason) { End(WatchEnd::kConnectionClosed); }

// Lines may be cut anywhere between chunks. An empty line or a complete object extends the time given for the
// next one; an object that is never finished does not.
void ListWatch::ReadChunk(std::string_view chunk) {
  if (parser_.message().status != 200) return;
  while (!chunk.empty() && !unreadable_) {
    const std::size_t end = chunk.find('\n');
    text_.append(chunk.substr(0, end));
    if (text_.size() > limits_.list_bytes) unreadable_ = true;
    if (end == std::string_view::npos) return;
    chunk.remove_prefix(end + 1);
    ReadLine();
  }
}

// An object may be indented over several lines, so a line may or may not complete one.
void ListWatch::ReadLine() {
  const std::size_t last = text_.find_last_not_of(kBlanks);
  if (last == std::string::npos) return ReadCompleteLine(nullptr);
  json list;
  if (text_[last] == '}') list = json::parse(text_, nullptr, false);
  if (list.is_object()) return ReadCompleteLine(&list);
  CheckUnfinishedObject();
  text_ += '\n';
}

// `list`: the object of the line, null for a heartbeat.
void ListWatch::ReadCompleteLine(const json* list) {
  ExpectLine(limits_.watch_silence);
  text_.clear();
  checked_bytes_ = 0;
  Line line;
  if (list != nullptr) line = ParseEndpointList(*list);
  unreadable_ = list != nullptr && !line;
  if (!unreadable_) lines_.push_back(std::move(line));
}

// Parses the text only each time that it has doubled: parsing it at each line would cost its square.
void ListWatch::CheckUnfinishedObject() {
  if (text_.size() < 2 * checked_bytes_) return;
  unreadable_ = !IsBeginningOfObject(text_);
  checked_bytes_ = text_.size();
  if (unreadable_) log::Warn("endpoint_list_unreadable", {{"bytes", text_.size()}, {"why", "no JSON"}});
}

}  // namespace opalroute
