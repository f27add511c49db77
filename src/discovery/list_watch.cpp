#include "discovery/list_watch.h"

#include <utility>

#include "discovery/endpoint_list_parser.h"
#include "log/log.h"
#include "net/address.h"

namespace opalroute {

using nlohmann::json;

namespace {

constexpr char kBlanks[] = " \r\t\n";

// Whether more text could make an object of this.
bool IsPartOfObject(const std::string& text) {
  if (text[text.find_first_not_of(kBlanks)] != '{') return false;
  try {
    return json::parse(text).is_object();
  } catch (const json::parse_error& error) {
    return error.byte > text.size();  // nothing is wrong but its end
  }
}

net::HttpBounds BoundsOf(const Limits& limits) {
  return {limits.head_bytes, limits.header_count, limits.list_bytes};
}

}  // namespace

ListWatch::ListWatch(net::EventLoop& loop, const sockaddr_in& address, std::optional<long long> since,
                     const Limits& limits, Handler& handler)
    : loop_(loop),
      address_(address),
      since_(since),
      limits_(limits),
      handler_(handler),
      parser_(net::HttpParser::Kind::kAnswer, BoundsOf(limits)) {
  parser_.StreamTo([this](std::string_view piece) { ReadChunk(piece); });
  connection_ = net::Connection::Connect(loop_, address_, *this, limits_.head_bytes, limits_.head_bytes);
  Expect(connection_ ? limits_.list_time : 0);
}

ListWatch::~ListWatch() { Close(); }

void ListWatch::Close() {
  loop_.Cancel(timer_);
  if (connection_) connection_->Close();
  loop_.Retire(std::move(connection_));
}

void ListWatch::Expect(net::Seconds within) {
  loop_.Cancel(timer_);
  timer_ = loop_.At(loop_.Now() + within, [this] {
    timer_ = 0;
    End(connection_ ? "silent" : "no connection");
  });
}

void ListWatch::End(const char* why) {
  Close();
  handler_.OnWatchEnd(*this, why);
}

void ListWatch::OnOpen(net::Connection& connection) {
  const std::string since = since_ ? "&since=" + std::to_string(*since_) : "";
  connection.Write(net::WriteRequest("GET", "/registry/instances?follow=1" + since,
                                     {{"Host", net::FormatAddress(address_)}}, ""));
}

void ListWatch::OnData(net::Connection& connection) {
  net::RingBuffer& in = connection.in();
  while (!in.empty() && !parser_.done() && !parser_.failed() && !broken_)
    in.Consume(parser_.Take(in.Front()));
  DeliverLines();
  if (!connection_) return;
  if (broken_) return End("a line can't be read");
  if (parser_.failed()) return End("no HTTP answer");
  if (parser_.head_done() && parser_.message().status != 200) return End("refused");
  if (parser_.done()) return End("ended");
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

void ListWatch::OnEnd(net::Connection&, net::Connection::End) { End("connection ended"); }

// Lines may be cut anywhere between chunks. An empty one says that the watch still stands, and so does a
// whole object; one that stays open does not.
void ListWatch::ReadChunk(std::string_view piece) {
  if (parser_.message().status != 200) return;
  while (!piece.empty() && !broken_) {
    const std::size_t end = piece.find('\n');
    text_.append(piece.substr(0, end));
    if (text_.size() > limits_.list_bytes) broken_ = true;
    if (end == std::string_view::npos) return;
    piece.remove_prefix(end + 1);
    ReadLine();
  }
}

// An object may come indented, over several lines. To look at the whole text with each line of it would cost
// its square, so that is done where it may end, and each time it has doubled.
void ListWatch::ReadLine() {
  const std::size_t last = text_.find_last_not_of(kBlanks);
  const bool blank = last == std::string::npos;
  json list;
  if (!blank && text_[last] == '}') list = json::parse(text_, nullptr, false);
  if (blank || list.is_object()) {
    Expect(limits_.watch_silence);
    text_.clear();
    part_seen_ = 0;
    Line line;
    if (!blank) line = ParseEndpointList(list);
    broken_ = !blank && !line;
    if (!broken_) lines_.push_back(std::move(line));
    return;
  }
  if (text_.size() >= 2 * part_seen_) {
    broken_ = !IsPartOfObject(text_);
    part_seen_ = text_.size();
    if (broken_) log::Warn("pool_list_unreadable", {{"bytes", text_.size()}, {"why", "no JSON"}});
  }
  text_ += '\n';
}

}  // namespace opalroute
