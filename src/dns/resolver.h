// A stub resolver on the event loop: asks recursive name servers for SRV and A records, keeps their answers,
// and says what it still believes when they fail. One flight for equal questions, however many ask.
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
#include "dns/servers.h"
#include "dns/tcp_channel.h"
#include "net/datagram.h"
#include "net/event_loop.h"

namespace opalroute::dns {

struct Outcome {
  std::optional<Answer> answer;  // never an alias: it has been followed
  bool stale = false;            // the servers fail; this is what they said before
  const char* why = "";          // they failed
  Seconds refresh_at = 0;        // when to ask again
};

struct ResolverCounters {
  long queries = 0;   // datagrams and TCP queries sent
  long tcp = 0;       // of these, by TCP
  long answers = 0;   // that were taken
  long passed = 0;    // forged, late or unreadable ones
  long failures = 0;  // tries that ended without an answer
  long stale = 0;     // times that an old answer had to do
};

class Resolver {
 public:
  using Ticket = std::uint64_t;
  using Done = std::function<void(const Outcome&)>;

  // `limits` and the loop stay. `seed`: of ids, jitter and the order of nothing else.
  Resolver(net::EventLoop& loop, std::vector<sockaddr_in> servers, const Limits& limits, std::uint64_t seed);
  ~Resolver();

  // `done` is called once, never before this returns. The servers are asked if no answer is kept that is not
  // yet due for a refresh, or if `newer`.
  Ticket Ask(const Question& question, bool newer, Done done);
  void Forget(Ticket ticket);  // it is not called any more

  const ResolverCounters& counters() const { return counters_; }

 private:
  struct Flight {
    std::vector<std::pair<Ticket, Done>> askers;
    Question asks;  // what is asked now: an alias's name, after one
    int aliases = 0, tries = 0;
    Seconds lifetime = 1e18;  // the least of the aliases that led here
    std::vector<int> asked;   // by server
    bool edns = true;
    std::size_t server = 0;
    std::uint16_t id = 0;
    bool by_tcp = false;
    Seconds sent = 0;
    std::uint64_t attempt = 0;
    std::unique_ptr<net::DatagramSocket> socket;
    net::EventLoop::TimerId timer = 0;
  };
  using Flights = std::map<Question, Flight>;

  void BeginSome();
  void Try(const Question& question);
  void SendDatagram(const Question& question, Flight& flight);
  void SendByTcp(const Question& question, Flight& flight);
  std::string QueryOf(const Flight& flight) const;
  void Arm(const Question& question, Flight& flight);
  void Take(const Question& question, std::uint64_t attempt, const std::string& bytes);
  void TakeAnswer(const Question& question, Flight& flight, Answer answer);
  void Fail(const Question& question, const char* why);
  void EndAttempt(Flight& flight);
  void Land(const Question& question, const Outcome& outcome);
  double Draw();

  net::EventLoop& loop_;
  const std::vector<sockaddr_in> addresses_;
  const Limits& limits_;
  std::uint64_t random_;
  Servers servers_;
  Cache cache_;
  RetryPacer retries_;
  ResolverCounters counters_;
  Flights flights_;
  std::deque<Question> line_;  // flights that wait for others to land, the last asked last
  std::size_t flying_ = 0;
  std::vector<std::unique_ptr<TcpChannel>> channels_;  // by server
  std::map<Ticket, Question> tickets_;
  Ticket last_ticket_ = 0;
  std::uint64_t last_attempt_ = 0;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for what the loop calls later
};

}  // namespace opalroute::dns
