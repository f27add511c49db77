// A stub resolver on the event loop. It asks recursive name servers for SRV and A records, caches the
// answers, and serves stale answers when all servers fail. Concurrent requests for the same question share
// one lookup.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/limits.h"
#include "dns/cache.h"
#include "dns/retry_pacer.h"
#include "dns/server_selector.h"
#include "dns/tcp_channel.h"
#include "net/datagram.h"
#include "net/event_loop.h"

namespace opalroute::dns {

struct LookupResult {
  std::optional<Answer> answer;  // never an alias: aliases have been followed
  bool stale = false;            // the lookup failed, and `answer` is an earlier one from the cache
  const char* error = "";        // why the lookup failed
  Seconds refresh_at = 0;        // when to ask again
};

struct ResolverCounters {
  long queries = 0;   // sent, over UDP and TCP
  long tcp = 0;       // of these, sent over TCP
  long answers = 0;   // accepted
  long ignored = 0;   // messages that were forged, late or malformed
  long failures = 0;  // attempts that ended without an answer
  long stale = 0;     // lookups that were answered with a stale answer
};

class Resolver {
 public:
  using Ticket = std::uint64_t;
  using Done = std::function<void(const LookupResult&)>;

  // The loop and `limits` must outlive the resolver. `seed`: for query ids and jitter.
  Resolver(net::EventLoop& loop, std::vector<sockaddr_in> servers, const Limits& limits, std::uint64_t seed);
  ~Resolver();

  // `done` is called once, and never before Ask returns. The servers are asked if the cache has no answer, if
  // its answer is due for a refresh, or if `bypass_cache`.
  Ticket Ask(const Question& question, bool bypass_cache, Done done);
  void Cancel(Ticket ticket);  // `done` will not be called

  const ResolverCounters& counters() const { return counters_; }

 private:
  // All requests for one question that are waiting for the same answer.
  struct Lookup {
    std::vector<std::pair<Ticket, Done>> requests;
    Question current_question;  // after an alias, the question for its target
    int aliases = 0, attempts = 0;
    Seconds ttl = 1e18;  // the lowest TTL of the aliases followed so far
    std::vector<int> attempts_by_server;
    bool edns = true;
    std::size_t server = 0;
    std::uint16_t id = 0;
    bool over_tcp = false;
    Seconds sent_at = 0;
    std::uint64_t query_number = 0;  // of the query in flight; 0: none
    std::unique_ptr<net::DatagramSocket> socket;
    net::EventLoop::TimerId timer = 0;
  };
  using Lookups = std::map<Question, Lookup>;

  void StartQueued();
  void StartAttempt(const Question& question);
  void SendDatagram(const Question& question, Lookup& lookup);
  void SendOverTcp(const Question& question, Lookup& lookup);
  std::string EncodeQuery(const Lookup& lookup) const;
  void BeginQuery(const Question& question, Lookup& lookup);
  void OnResponse(const Question& question, std::uint64_t query_number, const std::string& bytes);
  void OnAnswer(const Question& question, Lookup& lookup, Answer answer);
  void FailAttempt(const Question& question, const char* error);
  void EndQuery(Lookup& lookup);
  void Finish(const Question& question, const LookupResult& result);
  double NextRandom();  // uniform in [0, 1)

  net::EventLoop& loop_;
  const std::vector<sockaddr_in> addresses_;
  const Limits& limits_;
  std::uint64_t random_state_;
  ServerSelector servers_;
  Cache cache_;
  RetryPacer retries_;
  ResolverCounters counters_;
  Lookups lookups_;
  std::deque<Question> queue_;  // lookups that have not started, since the limit is reached; oldest first
  std::size_t active_lookups_ = 0;
  std::vector<std::unique_ptr<TcpChannel>> channels_;  // by server
  std::map<Ticket, Question> tickets_;
  Ticket last_ticket_ = 0;
  std::uint64_t last_query_number_ = 0;
  // Expires with the resolver; deferred callbacks check it.
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace opalroute::dns
