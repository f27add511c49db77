#include "dns/resolver.h"

#include <arpa/inet.h>

#include <algorithm>
#include <system_error>
#include <utility>

#include "log/log.h"
#include "net/address.h"

namespace opalroute::dns {

namespace {

CacheRules RulesOf(const Limits& limits) {
  CacheRules rules;
  rules.least = limits.dns_least_lifetime;
  rules.most = limits.dns_most_lifetime;
  rules.negative_most = limits.dns_negative_lifetime;
  rules.stale_most = limits.dns_stale;
  rules.entries = limits.dns_entries;
  return rules;
}

// A port of its own for each datagram, as the kernel draws it (RFC 5452, 9.2).
sockaddr_in AnyPortTowards(const sockaddr_in& server) {
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
      random_(seed),
      servers_(addresses_.size()),
      cache_(RulesOf(limits)),
      retries_(limits.dns_retry, limits.dns_retry_rate) {
  for (const sockaddr_in& address : addresses_)
    channels_.push_back(std::make_unique<TcpChannel>(loop, address, limits));
}

Resolver::~Resolver() {
  for (auto& [question, flight] : flights_) EndAttempt(flight);
}

// SplitMix64 (Steele et al. 2014); seeded from the system where it must not be guessed.
double Resolver::Draw() {
  std::uint64_t z = (random_ += 0x9e3779b97f4a7c15ULL);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1p-53;
}

Resolver::Ticket Resolver::Ask(const Question& question, bool newer, Done done) {
  const Ticket ticket = ++last_ticket_;
  tickets_.emplace(ticket, question);
  cache_.Expire(loop_.Now());
  const auto found = cache_.Find(question, loop_.Now());
  // Past its refresh it is asked for anew: else whoever looks again then would do so until its lifetime ends.
  if (!newer && found && loop_.Now() < found->refresh_at) {
    loop_.At(loop_.Now(),
             [this, alive = std::weak_ptr<bool>(alive_), ticket,
              outcome = Outcome{*found->answer, false, "", found->refresh_at}, done = std::move(done)] {
               if (!alive.expired() && tickets_.erase(ticket) > 0) done(outcome);
             });
    return ticket;
  }
  const auto [it, fresh] = flights_.try_emplace(question);
  it->second.askers.emplace_back(ticket, std::move(done));
  if (fresh) {
    it->second.asks = question;
    it->second.asked.assign(addresses_.size(), 0);
    line_.push_back(question);
    loop_.At(loop_.Now(), [this, alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.expired()) BeginSome();
    });
  }
  return ticket;
}

void Resolver::Forget(Ticket ticket) {
  const auto it = tickets_.find(ticket);
  if (it == tickets_.end()) return;
  const auto flight = flights_.find(it->second);
  if (flight != flights_.end()) {
    auto& askers = flight->second.askers;
    askers.erase(
        std::remove_if(askers.begin(), askers.end(), [&](const auto& a) { return a.first == ticket; }),
        askers.end());
  }
  tickets_.erase(it);  // the flight goes on: what it brings is kept
}

// Thousands of names may be due at once; their queries leave as others land.
void Resolver::BeginSome() {
  while (!line_.empty() && flying_ < limits_.dns_flights) {
    const Question question = std::move(line_.front());
    line_.pop_front();
    ++flying_;
    Try(question);
  }
}

void Resolver::Try(const Question& question) {
  Flight& flight = flights_.at(question);
  if (flight.tries >= limits_.dns_tries)
    return Land(question, {std::nullopt, false, "no server has answered", 0});
  ++flight.tries;
  flight.server = servers_.Pick(loop_.Now(), flight.asked);
  ++flight.asked[flight.server];
  SendDatagram(question, flight);
}

std::string Resolver::QueryOf(const Flight& flight) const {
  Message query;
  query.id = flight.id;
  query.questions = {flight.asks};
  if (flight.edns) query.edns_bytes = limits_.dns_datagram_asked;
  return Encode(query);
}

void Resolver::Arm(const Question& question, Flight& flight) {
  flight.sent = loop_.Now();
  flight.attempt = ++last_attempt_;
  ++counters_.queries;
  const Seconds patience =
      servers_.Patience(flight.server, flight.asked[flight.server] - 1) * (0.9 + 0.2 * Draw());
  loop_.Cancel(flight.timer);
  flight.timer = loop_.At(loop_.Now() + patience, [this, question] {
    flights_.at(question).timer = 0;
    Fail(question, "no answer in time");
  });
}

void Resolver::SendDatagram(const Question& question, Flight& flight) {
  EndAttempt(flight);
  flight.by_tcp = false;
  flight.id = static_cast<std::uint16_t>(Draw() * 65536);
  Arm(question, flight);
  const sockaddr_in to = addresses_[flight.server];
  try {
    flight.socket = std::make_unique<net::DatagramSocket>(
        loop_, AnyPortTowards(to), limits_.dns_datagram_bytes,
        [this, question, attempt = flight.attempt, to](const sockaddr_in& from, const std::string& bytes) {
          if (from.sin_addr.s_addr != to.sin_addr.s_addr || from.sin_port != to.sin_port) {
            ++counters_.passed;
            return;
          }
          Take(question, attempt, bytes);
        });
    flight.socket->Send(to, QueryOf(flight));  // unsent is as good as lost
  } catch (const std::system_error& error) {
    log::Warn("dns_no_socket", {{"why", error.what()}});
  }
}

// The same try: the server has answered, in a way that says that its answer is longer.
void Resolver::SendByTcp(const Question& question, Flight& flight) {
  EndAttempt(flight);
  TcpChannel& channel = *channels_[flight.server];
  flight.by_tcp = true;
  do flight.id = static_cast<std::uint16_t>(Draw() * 65536);
  while (channel.Asks(flight.id));
  Arm(question, flight);
  ++counters_.tcp;
  channel.Ask(flight.id, QueryOf(flight),
              [this, question, attempt = flight.attempt](const std::string* bytes) {
                const auto it = flights_.find(question);
                if (it == flights_.end() || it->second.attempt != attempt) return;
                if (bytes == nullptr) return Fail(question, "the connection ended");
                Take(question, attempt, *bytes);
              });
}

// Nothing of it is taken any more.
void Resolver::EndAttempt(Flight& flight) {
  loop_.Cancel(flight.timer);
  loop_.Retire(std::move(flight.socket));
  if (flight.by_tcp && flight.attempt != 0) channels_[flight.server]->Forget(flight.id);
  flight.attempt = 0;
}

void Resolver::Take(const Question& question, std::uint64_t attempt, const std::string& bytes) {
  const auto it = flights_.find(question);
  if (it == flights_.end() || it->second.attempt != attempt) return;
  Flight& flight = it->second;
  const auto decoded = Decode(bytes);
  const auto* message = std::get_if<Message>(&decoded);
  auto read = message == nullptr ? std::variant<Answer, Unfit>(Unfit::kOther)
                                 : ReadAnswer(*message, flight.id, flight.asks);
  if (auto* answer = std::get_if<Answer>(&read)) {
    servers_.Answered(flight.server, loop_.Now(), loop_.Now() - flight.sent);
    ++counters_.answers;
    return TakeAnswer(question, flight, std::move(*answer));
  }
  switch (std::get<Unfit>(read)) {
    case Unfit::kOther:  // the true one may still come, but by TCP nothing else does
      ++counters_.passed;
      return flight.by_tcp ? Fail(question, "an answer to something else") : void();
    case Unfit::kTruncated:
      return flight.by_tcp ? Fail(question, "truncated by TCP") : SendByTcp(question, flight);
    case Unfit::kNoEdns:
      if (std::exchange(flight.edns, false)) return SendDatagram(question, flight);
      return Fail(question, "the server can't read the question");
    case Unfit::kFailed:
      return Fail(question, "the server failed or refused");
  }
}

void Resolver::TakeAnswer(const Question& question, Flight& flight, Answer answer) {
  EndAttempt(flight);
  flight.lifetime = std::min(flight.lifetime, answer.lifetime);
  if (answer.kind == Answer::Kind::kAlias) {
    if (++flight.aliases > kMostAliases)
      return Land(question, {std::nullopt, false, "a chain of aliases without end", 0});
    flight.asks.name = answer.alias;
    flight.tries = 0;
    std::fill(flight.asked.begin(), flight.asked.end(), 0);
    return Try(question);
  }
  answer.lifetime = flight.lifetime;
  cache_.Put(question, answer, loop_.Now(), Draw());
  const auto kept = cache_.Find(question, loop_.Now());
  Land(question,
       {std::move(answer), false, "", kept ? kept->refresh_at : loop_.Now() + limits_.dns_least_lifetime});
}

void Resolver::Fail(const Question& question, const char* why) {
  Flight& flight = flights_.at(question);
  log::Debug("dns_try_failed", {{"name", flight.asks.name.Text()},
                                {"server", net::FormatAddress(addresses_[flight.server])},
                                {"why", why}});
  ++counters_.failures;
  servers_.Failed(flight.server, loop_.Now(), Draw());
  EndAttempt(flight);
  Try(question);
}

void Resolver::Land(const Question& question, const Outcome& outcome) {
  const auto it = flights_.find(question);
  EndAttempt(it->second);
  auto askers = std::move(it->second.askers);
  flights_.erase(it);
  --flying_;
  Outcome told = outcome;
  if (!told.answer) {
    told.refresh_at = retries_.NextFor(loop_.Now(), Draw());
    if (const auto found = cache_.Find(question, loop_.Now())) {
      told.answer = *found->answer;
      told.stale = true;
      ++counters_.stale;
    }
  }
  for (auto& [ticket, done] : askers)
    if (tickets_.erase(ticket) > 0) done(told);
  BeginSome();
}

}  // namespace opalroute::dns
