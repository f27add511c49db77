#include "dns/resolver.h"

#include <arpa/inet.h>

#include <algorithm>
#include <system_error>
#include <utility>

#include "log/log.h"
#include "net/address.h"

namespace opalroute::dns {

namespace {

CacheConfig CacheConfigOf(const Limits& limits) {
  CacheConfig config;
  config.min_ttl = limits.dns_min_ttl;
  config.max_ttl = limits.dns_max_ttl;
  config.max_negative_ttl = limits.dns_max_negative_ttl;
  config.max_stale = limits.dns_max_stale;
  config.max_entries = limits.dns_cache_entries;
  return config;
}

// The local address for a query to `server`. Port 0 makes the kernel choose a random port for each query,
// which makes responses harder to forge (RFC 5452, 9.2).
sockaddr_in LocalAddressFor(const sockaddr_in& server) {
  constexpr std::uint32_t kLoopbackNet = 127;
  sockaddr_in from{};
  from.sin_family = AF_INET;
  const bool loopback = ntohl(server.sin_addr.s_addr) >> 24 == kLoopbackNet;
  from.sin_addr.s_addr = htonl(loopback ? INADDR_LOOPBACK : INADDR_ANY);
  return from;
}

}  // namespace

Resolver::Resolver(net::EventLoop& loop, std::vector<sockaddr_in> servers, const Limits& limits,
                   std::uint64_t seed)
    : loop_(loop),
      addresses_(std::move(servers)),
      limits_(limits),
      random_state_(seed),
      servers_(addresses_.size()),
      cache_(CacheConfigOf(limits)),
      retries_(limits.dns_retry_delay, limits.dns_retry_rate) {
  for (const sockaddr_in& address : addresses_)
    channels_.push_back(std::make_unique<TcpChannel>(loop, address, limits));
}

Resolver::~Resolver() {
  for (auto& [question, lookup] : lookups_) EndQuery(lookup);
}

// SplitMix64 (Steele et al. 2014). Unpredictable only if the seed is, which the caller provides.
double Resolver::NextRandom() {
  std::uint64_t z = (random_state_ += 0x9e3779b97f4a7c15ULL);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1p-53;
}

Resolver::Ticket Resolver::Ask(const Question& question, bool bypass_cache, Done done) {
  const Ticket ticket = ++last_ticket_;
  tickets_.emplace(ticket, question);
  cache_.Expire(loop_.Now());
  const auto found = cache_.Find(question, loop_.Now());
  // From its refresh time on an answer is not served from the cache: a caller that asks again at that time
  // would get the same refresh time, and ask again and again until the TTL ends.
  if (!bypass_cache && found && loop_.Now() < found->refresh_at) {
    loop_.At(loop_.Now(),
             [this, alive = std::weak_ptr<bool>(alive_), ticket,
              result = LookupResult{*found->answer, false, "", found->refresh_at}, done = std::move(done)] {
               if (!alive.expired() && tickets_.erase(ticket) > 0) done(result);
             });
    return ticket;
  }
  const auto [it, is_new] = lookups_.try_emplace(question);
  it->second.requests.emplace_back(ticket, std::move(done));
  if (is_new) {
    it->second.current_question = question;
    it->second.attempts_by_server.assign(addresses_.size(), 0);
    queue_.push_back(question);
    loop_.At(loop_.Now(), [this, alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.expired()) StartQueued();
    });
  }
  return ticket;
}

void Resolver::Cancel(Ticket ticket) {
  const auto it = tickets_.find(ticket);
  if (it == tickets_.end()) return;
  const auto lookup = lookups_.find(it->second);
  if (lookup != lookups_.end()) {
    auto& requests = lookup->second.requests;
    requests.erase(std::remove_if(requests.begin(), requests.end(),
                                  [&](const auto& request) { return request.first == ticket; }),
                   requests.end());
  }
  tickets_.erase(it);  // the lookup continues, and its answer is cached
}

// Thousands of names may be due at once. The number of active lookups is limited; queued ones start as others
// finish.
void Resolver::StartQueued() {
  while (!queue_.empty() && active_lookups_ < limits_.dns_concurrent_lookups) {
    const Question question = std::move(queue_.front());
    queue_.pop_front();
    ++active_lookups_;
    StartAttempt(question);
  }
}

void Resolver::StartAttempt(const Question& question) {
  Lookup& lookup = lookups_.at(question);
  if (lookup.attempts >= limits_.dns_attempts)
    return Finish(question, {std::nullopt, false, "no server has answered", 0});
  ++lookup.attempts;
  lookup.server = servers_.Select(loop_.Now(), lookup.attempts_by_server);
  ++lookup.attempts_by_server[lookup.server];
  SendDatagram(question, lookup);
}

std::string Resolver::EncodeQuery(const Lookup& lookup) const {
  Message query;
  query.id = lookup.id;
  query.questions = {lookup.current_question};
  if (lookup.edns) query.edns_udp_size = limits_.dns_edns_udp_size;
  return Encode(query);
}

void Resolver::BeginQuery(const Question& question, Lookup& lookup) {
  lookup.sent_at = loop_.Now();
  lookup.query_number = ++last_query_number_;
  ++counters_.queries;
  const Seconds timeout = servers_.Timeout(lookup.server, lookup.attempts_by_server[lookup.server] - 1) *
                          (0.9 + 0.2 * NextRandom());
  loop_.Cancel(lookup.timer);
  lookup.timer = loop_.At(loop_.Now() + timeout, [this, question] {
    lookups_.at(question).timer = 0;
    FailAttempt(question, "no answer in time");
  });
}

void Resolver::SendDatagram(const Question& question, Lookup& lookup) {
  EndQuery(lookup);
  lookup.over_tcp = false;
  lookup.id = static_cast<std::uint16_t>(NextRandom() * 65536);
  BeginQuery(question, lookup);
  const sockaddr_in to = addresses_[lookup.server];
  try {
    lookup.socket = std::make_unique<net::DatagramSocket>(
        loop_, LocalAddressFor(to), limits_.dns_datagram_bytes,
        [this, question, query_number = lookup.query_number, to](const sockaddr_in& from,
                                                                 const std::string& bytes) {
          if (from.sin_addr.s_addr != to.sin_addr.s_addr || from.sin_port != to.sin_port) {
            ++counters_.ignored;
            return;
          }
          OnResponse(question, query_number, bytes);
        });
    lookup.socket->Send(to, EncodeQuery(lookup));  // a failed send counts as a lost datagram
  } catch (const std::system_error& error) {       // the attempt then times out
    log::Warn("dns_no_socket", {{"why", error.what()}});
  }
}

// Continues the same attempt over TCP, after the server has answered over UDP with a truncated message.
void Resolver::SendOverTcp(const Question& question, Lookup& lookup) {
  EndQuery(lookup);
  TcpChannel& channel = *channels_[lookup.server];
  lookup.over_tcp = true;
  do lookup.id = static_cast<std::uint16_t>(NextRandom() * 65536);
  while (channel.IsPending(lookup.id));
  BeginQuery(question, lookup);
  ++counters_.tcp;
  channel.Query(lookup.id, EncodeQuery(lookup),
                [this, question, query_number = lookup.query_number](const std::string* bytes) {
                  const auto it = lookups_.find(question);
                  if (it == lookups_.end() || it->second.query_number != query_number) return;
                  if (bytes == nullptr) return FailAttempt(question, "TCP connection failed");
                  OnResponse(question, query_number, *bytes);
                });
}

// Stops the query in flight, if any; its response will be ignored.
void Resolver::EndQuery(Lookup& lookup) {
  loop_.Cancel(lookup.timer);
  loop_.Retire(std::move(lookup.socket));
  if (lookup.over_tcp && lookup.query_number != 0) channels_[lookup.server]->Cancel(lookup.id);
  lookup.query_number = 0;
}

void Resolver::OnResponse(const Question& question, std::uint64_t query_number, const std::string& bytes) {
  const auto it = lookups_.find(question);
  if (it == lookups_.end() || it->second.query_number != query_number) return;
  Lookup& lookup = it->second;
  const auto decoded = Decode(bytes);
  const auto* message = std::get_if<Message>(&decoded);
  auto read = message == nullptr ? std::variant<Answer, ResponseError>(ResponseError::kMismatch)
                                 : ReadAnswer(*message, lookup.id, lookup.current_question);
  if (auto* answer = std::get_if<Answer>(&read)) {
    servers_.OnAnswer(lookup.server, loop_.Now(), loop_.Now() - lookup.sent_at);
    ++counters_.answers;
    return OnAnswer(question, lookup, std::move(*answer));
  }
  switch (std::get<ResponseError>(read)) {
    case ResponseError::kMismatch:  // over UDP the real response may still arrive, but not over TCP
      ++counters_.ignored;
      return lookup.over_tcp ? FailAttempt(question, "unexpected response") : void();
    case ResponseError::kTruncated:
      return lookup.over_tcp ? FailAttempt(question, "truncated response over TCP")
                             : SendOverTcp(question, lookup);
    case ResponseError::kEdnsUnsupported:
      if (std::exchange(lookup.edns, false)) return SendDatagram(question, lookup);
      return FailAttempt(question, "the server can't parse the query");
    case ResponseError::kServerFailure:
      return FailAttempt(question, "the server failed or refused");
  }
}

void Resolver::OnAnswer(const Question& question, Lookup& lookup, Answer answer) {
  EndQuery(lookup);
  lookup.ttl = std::min(lookup.ttl, answer.ttl);
  if (answer.kind == Answer::Kind::kAlias) {
    if (++lookup.aliases > kMaxAliases)
      return Finish(question, {std::nullopt, false, "too many aliases in a row", 0});
    lookup.current_question.name = answer.alias;
    lookup.attempts = 0;
    std::fill(lookup.attempts_by_server.begin(), lookup.attempts_by_server.end(), 0);
    return StartAttempt(question);
  }
  answer.ttl = lookup.ttl;
  cache_.Put(question, answer, loop_.Now(), NextRandom());
  const auto cached = cache_.Find(question, loop_.Now());
  Finish(question,
         {std::move(answer), false, "", cached ? cached->refresh_at : loop_.Now() + limits_.dns_min_ttl});
}

void Resolver::FailAttempt(const Question& question, const char* error) {
  Lookup& lookup = lookups_.at(question);
  log::Debug("dns_try_failed", {{"name", lookup.current_question.name.Text()},
                                {"server", net::FormatAddress(addresses_[lookup.server])},
                                {"why", error}});
  ++counters_.failures;
  servers_.OnFailure(lookup.server, loop_.Now(), NextRandom());
  EndQuery(lookup);
  StartAttempt(question);
}

void Resolver::Finish(const Question& question, const LookupResult& result) {
  const auto it = lookups_.find(question);
  EndQuery(it->second);
  auto requests = std::move(it->second.requests);
  lookups_.erase(it);
  --active_lookups_;
  LookupResult reported = result;
  if (!reported.answer) {
    reported.refresh_at = retries_.NextRetry(loop_.Now(), NextRandom());
    if (const auto found = cache_.Find(question, loop_.Now())) {
      reported.answer = *found->answer;
      reported.stale = true;
      ++counters_.stale;
    }
  }
  for (auto& [ticket, done] : requests)
    if (tickets_.erase(ticket) > 0) done(reported);
  StartQueued();
}

}  // namespace opalroute::dns
