#include "pool/discovery.h"

#include "config/fields.h"
#include "log/log.h"
#include "net/address.h"

namespace opalroute {

using nlohmann::json;

namespace {

const config::Words<PoolMember::State> kStates = {{"ready", PoolMember::State::kReady},
                                                  {"draining", PoolMember::State::kDraining},
                                                  {"gone", PoolMember::State::kGone}};

PoolMember ReadMember(const json& row) {
  PoolMember member;
  member.id = config::Get<std::string>(row, "instanceId");
  member.state = config::Word(kStates, row, "lifecycle");
  const auto address = net::ParseAddress(config::Get<std::string>(row, "hostPort"));
  if (!address) throw config::FieldError("field 'hostPort' holds no address");
  member.address = *address;
  member.zone = config::Get<std::string>(row, "zone");
  member.kind = config::Get<std::string>(row, "machineType");
  member.destination = config::Get<long long>(row, "cell");
  member.weight = config::GetOr(row, "weight", 0.0);
  return member;
}

// Whether more text could make an object of this.
bool IsPartOfObject(const std::string& text) {
  if (text[text.find_first_not_of(" \r\t\n")] != '{') return false;
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

Discovery::Discovery(net::EventLoop& loop, net::HttpClient& client, const sockaddr_in& address,
                     const Limits& limits, Listener& listener)
    : loop_(loop),
      client_(client),
      address_(address),
      limits_(limits),
      listener_(listener),
      parser_(net::HttpParser::Kind::kAnswer, BoundsOf(limits)) {
  parser_.StreamTo([this](std::string_view piece) { TakePiece(piece); });
}

Discovery::~Discovery() {
  CloseWatch();
  if (fetching_) client_.Abandon(*this);
  loop_.Cancel(fetch_timer_);
}

std::optional<PoolNews> Discovery::Read(std::string_view text) {
  const json list = json::parse(text, nullptr, false);
  if (!list.is_discarded()) return ReadList(list);
  log::Warn("pool_list_unreadable", {{"bytes", text.size()}, {"why", "no JSON"}});
  return std::nullopt;
}

std::optional<PoolNews> Discovery::ReadList(const json& list) {
  PoolNews news;
  try {
    const auto generation = config::Get<long long>(list, "generation");
    news.generation = generation;
    news.whole = config::GetOr(list, "reset", false);
    const json& rows = config::Need(list, "instances");
    if (!rows.is_array()) throw config::FieldError("field 'instances' is no array");
    for (const json& row : rows) news.members.push_back(ReadMember(row));
    generation_ = generation;
  } catch (const config::FieldError& error) {
    log::Warn("pool_list_unreadable", {{"why", error.what()}});
    return std::nullopt;
  }
  return news;
}

void Discovery::Watch(bool on) {
  CloseWatch();
  if (!on) return;
  watch_ = net::Connection::Connect(loop_, address_, *this, limits_.head_bytes, limits_.head_bytes);
  log::Info("pool_watch_opened", {{"at", net::FormatAddress(address_)}, {"since", generation_.value_or(0)}});
  Expect(watch_ ? limits_.list_time : 0);
}

void Discovery::MoveTo(const sockaddr_in& address) {
  const bool watching = watch_ != nullptr;
  if (fetching_) client_.Abandon(*this);
  client_.CloseIdle({address_});
  address_ = address;
  generation_.reset();
  if (watching) Watch(true);
  if (fetching_) client_.Start({address_}, *this);
}

void Discovery::Expect(double within) {
  loop_.Cancel(watch_timer_);
  watch_timer_ = loop_.At(loop_.Now() + within, [this] {
    watch_timer_ = 0;
    EndWatch("silent");
  });
}

void Discovery::OnOpen(net::Connection& connection) {
  const std::string since = generation_ ? "&since=" + std::to_string(*generation_) : "";
  connection.Write(net::WriteRequest("GET", "/registry/instances?follow=1" + since,
                                     {{"Host", net::FormatAddress(address_)}}, ""));
}

void Discovery::OnData(net::Connection& connection) {
  net::RingBuffer& in = connection.in();
  while (!in.empty() && !parser_.done() && !parser_.failed() && !broken_)
    in.Consume(parser_.Take(in.Front()));
  // Told only now: a listener may ask for another watch, which starts the parser anew.
  for (const PoolNews& news : std::exchange(news_, {})) listener_.OnPoolNews(news);
  if (watch_.get() != &connection) return;
  if (broken_) return EndWatch("a line can't be read");
  if (parser_.failed()) return EndWatch("no HTTP answer");
  if (parser_.head_done() && parser_.message().status != 200) return EndWatch("refused");
  if (parser_.done()) return EndWatch("ended");
}

void Discovery::OnEnd(net::Connection&, net::Connection::End) { EndWatch("connection ended"); }

// Lines may be cut anywhere between chunks. An empty one says that the watch still stands, and so does a
// whole object; one that stays open does not.
void Discovery::TakePiece(std::string_view piece) {
  if (parser_.message().status != 200) return;
  while (!piece.empty() && !broken_) {
    const std::size_t end = piece.find('\n');
    line_.append(piece.substr(0, end));
    if (line_.size() > limits_.list_bytes) broken_ = true;
    if (end == std::string_view::npos) return;
    piece.remove_prefix(end + 1);
    TakeLine();
  }
}

// An object may come indented, over several lines. To look at the whole text with each line of it would cost
// its square, so that is done where it may end, and each time it has doubled.
void Discovery::TakeLine() {
  const std::size_t last = line_.find_last_not_of(" \r\t\n");
  const bool blank = last == std::string::npos;
  json list;
  if (!blank && line_[last] == '}') list = json::parse(line_, nullptr, false);
  if (blank || list.is_object()) {
    Expect(limits_.watch_silence);
    line_.clear();
    part_seen_ = 0;
    if (blank) return;
    auto news = ReadList(list);
    broken_ = !news;
    if (news) news_.push_back(std::move(*news));
    return;
  }
  if (line_.size() >= 2 * part_seen_) {
    broken_ = !IsPartOfObject(line_);
    part_seen_ = line_.size();
    if (broken_) log::Warn("pool_list_unreadable", {{"bytes", line_.size()}, {"why", "no JSON"}});
  }
  line_ += '\n';
}

void Discovery::CloseWatch() {
  loop_.Cancel(watch_timer_);
  if (watch_) watch_->Close();
  loop_.Retire(std::move(watch_));
  parser_.Reset();
  line_.clear();
  part_seen_ = 0;
  news_.clear();
  broken_ = false;
}

void Discovery::EndWatch(const char* why) {
  log::Warn("pool_watch_failed",
            {{"why", why}, {"at", net::FormatAddress(address_)}, {"held", generation_.value_or(0)}});
  CloseWatch();
  listener_.OnPoolFailed();
}

void Discovery::Fetch() {
  if (fetching_) return;  // its answer serves both
  fetching_ = true;
  fetch_timer_ = loop_.At(loop_.Now() + limits_.list_time, [this] {
    fetch_timer_ = 0;
    client_.Abandon(*this);
    EndFetch("no answer in time");
  });
  client_.Start({address_}, *this);
}

std::string Discovery::OnReady() {
  return net::WriteRequest("GET", "/registry/instances", {{"Host", net::FormatAddress(address_)}}, "");
}

void Discovery::OnAnswer(net::HttpMessage& answer) {
  const auto news = answer.status == 200 ? Read(answer.body) : std::nullopt;
  if (!news) return EndFetch("refused, or it can't be read");
  loop_.Cancel(fetch_timer_);
  fetching_ = false;
  listener_.OnPoolNews(*news);
}

void Discovery::OnBroken(net::HttpClient::Broken, int) { EndFetch("connection ended"); }

void Discovery::EndFetch(const char* why) {
  log::Warn("pool_fetch_failed", {{"why", why}});
  loop_.Cancel(fetch_timer_);
  fetching_ = false;
  listener_.OnPoolFailed();
}

}  // namespace opalroute
