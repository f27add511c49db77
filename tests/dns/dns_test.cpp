// Tests of the DNS client: the codec against hand-written bytes and against ldns, the timing of the cache,
// and the resolver against a test name server with injected faults.
#include <doctest/doctest.h>
#include <ldns/ldns.h>

#include <array>
#include <cmath>
#include <map>
#include <pcg_random.hpp>

#include "dns/cache.h"
#include "dns/resolver.h"
#include "dns/retry_pacer.h"
#include "dns/server_selector.h"
#include "lab/dns/fake_name_server.h"
#include "lab/simulated_clock.h"

namespace opalroute::dns {
namespace {

Name ParseName(const std::string& text) { return *Name::Parse(text); }
Record MakeRecord(const std::string& name, Type type, std::uint32_t ttl, decltype(Record::data) data) {
  return {ParseName(name), type, kInternet, ttl, std::move(data)};
}
Record MakeSrvRecord(const std::string& name, std::uint32_t ttl, const std::string& target,
                     std::uint16_t port = 80) {
  return MakeRecord(name, Type::kSrv, ttl, Srv{1, 10, port, ParseName(target)});
}

// ---- codec ---------------------------------------------------------------------------------------------

const std::string kHeader("\x12\x34\x81\x80\x00\x01\x00\x01\x00\x00\x00\x00", 12);
const std::string kQuestion(
    "\x01"
    "a\x02"
    "Bc\x00\x00\x21\x00\x01",
    10);  // a.Bc, SRV: from byte 12

TEST_CASE("dns: a compressed message is decoded, with names in lower case") {
  const std::string srv(
      "\xc0\x0c\x00\x21\x00\x01\x00\x00\x00\x3c\x00\x0a\x00\x01\x00\x02\x1f\x90\x01"
      "X\xc0\x0e",
      22);
  const auto decoded = Decode(kHeader + kQuestion + srv);
  const auto* m = std::get_if<Message>(&decoded);
  REQUIRE(m != nullptr);
  CHECK(m->id == 0x1234);
  CHECK(m->questions[0].name.Text() == "a.bc");
  REQUIRE(m->answers.size() == 1);
  CHECK(m->answers[0].ttl == 60);
  const auto& data = std::get<Srv>(m->answers[0].data);
  CHECK(data.priority == 1);
  CHECK(data.weight == 2);
  CHECK(data.port == 8080);
  CHECK(data.target == ParseName("x.BC."));
}

TEST_CASE("dns: decode errors state the offset and the reason") {
  const auto error = [](const std::string& bytes) {
    const auto decoded = Decode(bytes);
    REQUIRE(std::holds_alternative<DecodeError>(decoded));
    const DecodeError& e = std::get<DecodeError>(decoded);
    return std::to_string(e.offset) + " " + e.reason;
  };
  const std::string rest("\x00\x21\x00\x01\x00\x00\x00\x3c", 8);
  CHECK(error("") == "0 shorter than the header of 12 bytes");
  CHECK(error(kHeader.substr(0, 11)) == "11 shorter than the header of 12 bytes");
  CHECK(error(kHeader + std::string("\xc0\x0c\x00\x21\x00\x01", 6)) ==
        "12 a compression pointer does not point backward");  // to itself
  CHECK(error(kHeader + kQuestion + std::string("\xc0\x30", 2) + rest) ==
        "22 a compression pointer does not point backward");
  CHECK(error(kHeader + kQuestion +
              std::string("\x01"
                          "b\xc0\x16",
                          4) +
              rest) == "24 a compression pointer does not point backward");
  CHECK(error(kHeader + kQuestion + "\x40") == "22 a label is longer than 63 bytes");
  CHECK(error(kHeader + kQuestion +
              "\x3f"
              "abc") == "22 a label extends past the end of the message");
  CHECK(error(kHeader + kQuestion) == "22 a name extends past the end of the message");
  CHECK(error(kHeader + kQuestion + "\xc0") == "22 incomplete compression pointer");
  CHECK(error(kHeader + kQuestion + std::string("\xc0\x0c", 2) + rest + std::string("\x00\x09\x00", 3)) ==
        "34 the data of a record extends past the end of the message");
  // SRV data with a stated length of 7 bytes, whose target name extends beyond them.
  CHECK(error(kHeader + kQuestion + std::string("\xc0\x0c", 2) + rest +
              std::string("\x00\x07\x00\x01\x00\x02\x1f\x90\x01x\x00", 11)) ==
        "43 the data of a record does not match its stated length");
  std::string longest;
  for (int i = 0; i < 5; ++i) longest += "\x3f" + std::string(63, 'x');
  CHECK(error(kHeader + longest + '\0').find("a name is longer than 255 bytes") != std::string::npos);
  // A truncated message is decoded up to its question, whatever follows.
  std::string truncated = kHeader + kQuestion + "\xff\xff";
  truncated[2] = '\x83';
  CHECK(std::holds_alternative<Message>(Decode(truncated)));
}

Message RandomMessage(pcg32& random) {
  const auto name = [&] {
    std::string text;
    for (std::uint32_t i = 0, labels = 1 + random(4); i < labels; ++i)
      text += (i > 0 ? "." : "") + std::string(1 + random(8), static_cast<char>('a' + random(26)));
    return ParseName(text + ".example");
  };
  Message m;
  m.id = static_cast<std::uint16_t>(random());
  m.response = m.recursion_available = true;
  m.questions = {{name(), Type::kSrv}};
  for (std::uint32_t i = 0, count = random(6); i < count; ++i) {
    const std::uint32_t ttl = random(100000);
    switch (random(5)) {
      case 0:
        m.answers.push_back({name(), Type::kA, kInternet, ttl, in_addr{random()}});
        break;
      case 1: {
        Ipv6Address address;
        for (auto& byte : address) byte = static_cast<std::uint8_t>(random());
        m.answers.push_back({name(), Type::kAaaa, kInternet, ttl, address});
        break;
      }
      case 2:
        m.answers.push_back({name(), Type::kCname, kInternet, ttl, name()});
        break;
      case 3:
        m.answers.push_back({name(), Type::kSrv, kInternet, ttl,
                             Srv{static_cast<std::uint16_t>(random()), static_cast<std::uint16_t>(random()),
                                 static_cast<std::uint16_t>(random()), name()}});
        break;
      default:
        m.authority.push_back({name(), Type::kSoa, kInternet, ttl,
                               Soa{name(), name(), random(), random(), random(), random(), random()}});
    }
  }
  if (random(2) == 0) m.edns_udp_size = static_cast<std::uint16_t>(512 + random(4000));
  return m;
}

// ldns must decode our encoding. Its own encoding, which compresses names, must decode to the same message.
TEST_CASE("dns: the codec is compatible with ldns in both directions") {
  pcg32 random(11);
  long compressed = 0;
  for (int i = 0; i < 2000; ++i) {
    const Message message = RandomMessage(random);
    const std::string bytes = Encode(message);
    ldns_pkt* packet = nullptr;
    REQUIRE(ldns_wire2pkt(&packet, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()) ==
            LDNS_STATUS_OK);
    CHECK(ldns_pkt_ancount(packet) == message.answers.size());
    for (std::size_t a = 0; a < message.answers.size(); ++a) {
      const ldns_rr* rr = ldns_rr_list_rr(ldns_pkt_answer(packet), a);
      CHECK(static_cast<int>(ldns_rr_get_type(rr)) == static_cast<int>(message.answers[a].type));
      CHECK(ldns_rr_ttl(rr) == message.answers[a].ttl);
      if (const auto* srv = std::get_if<Srv>(&message.answers[a].data)) {
        CHECK(ldns_rdf2native_int16(ldns_rr_rdf(rr, 2)) == srv->port);
        char* target = ldns_rdf2str(ldns_rr_rdf(rr, 3));
        CHECK(std::string(target) == srv->target.Text() + ".");
        free(target);
      }
    }
    std::uint8_t* wire = nullptr;
    std::size_t size = 0;
    REQUIRE(ldns_pkt2wire(&wire, packet, &size) == LDNS_STATUS_OK);
    compressed += size < bytes.size();
    const auto back = Decode({reinterpret_cast<const char*>(wire), size});
    REQUIRE(std::holds_alternative<Message>(back));
    CHECK(Encode(std::get<Message>(back)) == bytes);
    free(wire);
    ldns_pkt_free(packet);
  }
  CHECK(compressed > 1000);
}

// ---- answers, cache, servers -----------------------------------------------------------------------------

Message Response(const Question& question, std::vector<Record> answers) {
  Message m;
  m.id = 7;
  m.response = true;
  m.questions = {question};
  m.answers = std::move(answers);
  return m;
}

TEST_CASE("dns: chains of aliases are followed, and a loop of aliases is an error") {
  const Question q{ParseName("s.example"), Type::kSrv};
  const auto read = [&](std::vector<Record> answers) {
    return ReadAnswer(Response(q, std::move(answers)), 7, q);
  };
  const auto chain = read({MakeRecord("s.example", Type::kCname, 5, ParseName("t.example")),
                           MakeSrvRecord("t.example", 60, "h.example")});
  CHECK(std::get<Answer>(chain).services.size() == 1);
  CHECK(std::get<Answer>(chain).ttl == 5);
  const auto open = read({MakeRecord("s.example", Type::kCname, 5, ParseName("t.example"))});
  CHECK(std::get<Answer>(open).kind == Answer::Kind::kAlias);
  CHECK(std::get<Answer>(open).alias == ParseName("t.example"));
  const auto loop = read({MakeRecord("s.example", Type::kCname, 5, ParseName("t.example")),
                          MakeRecord("t.example", Type::kCname, 5, ParseName("s.example"))});
  CHECK(std::get<ResponseError>(loop) == ResponseError::kServerFailure);
  CHECK(std::get<Answer>(read({})).kind == Answer::Kind::kNoData);
  Message negative = Response(q, {});
  negative.rcode = Rcode::kNxDomain;
  negative.authority = {
      MakeRecord("example", Type::kSoa, 300, Soa{ParseName("a"), ParseName("b"), 1, 2, 3, 4, 30})};
  CHECK(std::get<Answer>(ReadAnswer(negative, 7, q)).kind == Answer::Kind::kNoName);
  CHECK(std::get<Answer>(ReadAnswer(negative, 7, q)).ttl == 30);
  CHECK(std::get<ResponseError>(ReadAnswer(negative, 8, q)) == ResponseError::kMismatch);
  CHECK(std::get<ResponseError>(ReadAnswer(negative, 7, {ParseName("x"), Type::kSrv})) ==
        ResponseError::kMismatch);
}

TEST_CASE("dns: TTLs are clamped, refreshes are early and jittered, and stale answers expire") {
  CacheConfig config;
  Cache cache(config);
  Answer answer;
  answer.kind = Answer::Kind::kRecords;
  const Question q{ParseName("s.example"), Type::kSrv};
  answer.ttl = 100;
  cache.Put(q, answer, 1000, 0.5);
  // The first refresh is due at any time up to about 80 % of the TTL.
  CHECK(cache.Find(q, 1000)->refresh_at == doctest::Approx(1040));
  for (const auto& [ttl, effective_ttl] : {std::pair(0.0, 1.0), {100.0, 100.0}, {2147483647.0, 3600.0}}) {
    answer.ttl = ttl;
    cache.Put(q, answer, 1000, 0.5);
    CHECK(cache.Find(q, 1000 + effective_ttl - 0.001)->age == Cache::Age::kFresh);
    CHECK(cache.Find(q, 1000 + effective_ttl)->age == Cache::Age::kStale);
    CHECK(cache.Find(q, 1000 + effective_ttl + 3599)->age == Cache::Age::kStale);
    CHECK(!cache.Find(q, 1000 + effective_ttl + 3600));
    CHECK(cache.Find(q, 1000)->refresh_at == doctest::Approx(1000 + 0.8 * effective_ttl));
  }
  answer.kind = Answer::Kind::kNoName;
  CHECK(cache.EffectiveTtl(answer) == 60);
  answer.kind = Answer::Kind::kRecords;
  answer.ttl = 100;
  Seconds first = 1e9, last = 0;
  pcg32 random(1);
  for (int i = 0; i < 5000; ++i) {
    const Question name{ParseName("n" + std::to_string(i)), Type::kSrv};
    for (int twice = 0; twice < 2; ++twice) cache.Put(name, answer, 0, random() * 0x1p-32);
    first = std::min(first, cache.Find(name, 0)->refresh_at);
    last = std::max(last, cache.Find(name, 0)->refresh_at);
  }
  CHECK(first < 70.5);
  CHECK(last > 89.5);
  CHECK(last <= 90);
  cache.Expire(1e6);
  CHECK(cache.size() == 0);
  config.max_entries = 2;
  Cache small(config);
  for (int i = 0; i < 3; ++i) small.Put({ParseName("n" + std::to_string(i)), Type::kSrv}, answer, i, 0.5);
  CHECK(small.size() == 2);
  CHECK(!small.Find({ParseName("n0"), Type::kSrv}, 3));
}

// Simulates the refreshes of many names. Each is answered when it is due, except those due during an outage,
// which are all answered when it ends.
struct RefreshSimulation {
  static constexpr int kNames = 5000;
  static constexpr Seconds kTtl = 60, kDuration = 300;

  void Run(Seconds outage_from, Seconds outage_to) {
    const CacheConfig config;
    Cache cache(config);
    Answer answer;
    answer.kind = Answer::Kind::kRecords;
    answer.ttl = kTtl;
    pcg32 random(7);
    std::multimap<Seconds, Question> due;
    for (int i = 0; i < kNames; ++i) due.emplace(0, Question{ParseName("n" + std::to_string(i)), Type::kSrv});
    while (due.begin()->first < kDuration) {
      const auto [at, question] = *due.begin();
      due.erase(due.begin());
      const bool late = at >= outage_from && at < outage_to;
      const Seconds answered = late ? outage_to : at;
      if (!late && at > 0) ++by_second[static_cast<std::size_t>(at)];
      cache.Put(question, answer, answered, random() * 0x1p-32);
      due.emplace(cache.Find(question, answered)->refresh_at, question);
    }
  }
  // At the steady rate each name is refreshed once per 0.8 of its TTL. Random variation must stay below five
  // standard deviations.
  void CheckRate(Seconds from) const {
    const double steady = kNames / (0.8 * kTtl);
    const double max_rate = steady + 5 * std::sqrt(steady);
    for (auto second = static_cast<std::size_t>(from); second < by_second.size(); ++second) {
      CAPTURE(second);
      CHECK(by_second[second] <= max_rate);
    }
  }

  std::array<int, static_cast<std::size_t>(kDuration)> by_second{};
};

// Guards against waves of refreshes: the second refreshes of some names must not add to the first ones of
// others.
TEST_CASE("dns: refreshes of names that were first queried at once stay at the steady rate") {
  RefreshSimulation simulation;
  simulation.Run(0, 0);
  simulation.CheckRate(0);
}

// Guards against refreshes that stay synchronized after an outage during which they all became due.
TEST_CASE("dns: refreshes of names that were answered late together stay at the steady rate") {
  RefreshSimulation simulation;
  simulation.Run(100, 115);
  simulation.CheckRate(116);
}

TEST_CASE("dns: the fastest server is asked first, and one in backoff last") {
  ServerSelector servers(3);
  CHECK(servers.Select(0, {0, 0, 0}) == 0);
  servers.OnAnswer(0, 0, 0.2);
  servers.OnAnswer(1, 0, 0.1);
  servers.OnAnswer(2, 0, 0.3);
  CHECK(servers.Select(1, {0, 0, 0}) == 1);
  CHECK(servers.Select(1, {0, 1, 0}) == 0);  // server 1 has been asked this already
  servers.OnFailure(1, 1, 0.5);
  CHECK(servers.Select(1.4, {0, 0, 0}) == 0);
  CHECK(servers.Select(1.6, {0, 0, 0}) == 1);  // its backoff is over
  CHECK(servers.Timeout(1, 0) == doctest::Approx(0.4));
  CHECK(servers.Timeout(1, 9) == 2);
}

TEST_CASE("dns: failed questions are retried after the usual delay, and many of them at a limited rate") {
  RetryPacer few(5, 40);
  CHECK(few.NextRetry(100, 0) == doctest::Approx(103.75));
  CHECK(few.NextRetry(100, 0.5) == doctest::Approx(105));
  CHECK(few.NextRetry(200, 0.5) == doctest::Approx(205));
  RetryPacer many(5, 40);
  Seconds last = 0;
  for (int i = 0; i < 1000; ++i) {
    const Seconds next = many.NextRetry(100, 0);
    if (i > 0) CHECK(next - last == doctest::Approx(1 / 40.0));
    last = next;
  }
}

// ---- resolver --------------------------------------------------------------------------------------------

struct ResolverFixture {
  ResolverFixture() : loop(clock), server(loop), second(loop) {}
  void Start(int servers = 1) {
    std::vector<sockaddr_in> addresses = {server.address()};
    if (servers > 1) addresses.push_back(second.address());
    resolver = std::make_unique<Resolver>(loop, addresses, limits, 5);
  }
  LookupResult Ask(const Question& question, bool bypass_cache = false) {
    if (!resolver) Start();
    std::optional<LookupResult> result;
    resolver->Ask(question, bypass_cache, [&](const LookupResult& o) { result = o; });
    for (int i = 0; i < 300 && !result; ++i) lab::RunEventLoopUntil(loop, clock, clock.Now() + 0.1);
    REQUIRE(result);
    return *result;
  }
  lab::FakeNameServer::Entry Entry(int targets = 1) const {
    lab::FakeNameServer::Entry entry;
    for (int i = 0; i < targets; ++i)
      entry.answers.push_back(MakeSrvRecord("s.example", 10, "host" + std::to_string(i) + ".example"));
    return entry;
  }
  const Question q{ParseName("s.example"), Type::kSrv};
  Limits limits;
  lab::SimulatedClock clock;
  net::EventLoop loop;
  lab::FakeNameServer server, second;
  std::unique_ptr<Resolver> resolver;
};

using Fault = lab::FakeNameServer::Entry::Fault;
using Tcp = lab::FakeNameServer::Entry::Tcp;

TEST_CASE("dns: equal questions share a lookup, and the answer is cached for its TTL") {
  ResolverFixture f;
  f.server.Set(f.q, f.Entry());
  f.Start();
  int answered = 0;
  for (int i = 0; i < 5; ++i)
    f.resolver->Ask(f.q, false, [&](const LookupResult& o) { answered += o.answer.has_value(); });
  f.resolver->Cancel(f.resolver->Ask(f.q, false, [&](const LookupResult&) { answered += 100; }));
  CHECK(answered == 0);  // never before Ask returns
  lab::RunEventLoopUntil(f.loop, f.clock, f.clock.Now() + 0.1);
  CHECK(answered == 5);
  CHECK(f.server.datagrams() == 1);
  CHECK(f.Ask(f.q).answer->services[0].target == ParseName("host0.example"));
  CHECK(f.server.datagrams() == 1);
  CHECK(f.Ask(f.q, true).answer);
  CHECK(f.server.datagrams() == 2);
}

TEST_CASE("dns: forged and malformed responses are ignored") {
  for (const Fault fault : {Fault::kWrongId, Fault::kWrongQuestion, Fault::kGarbage}) {
    ResolverFixture f;
    auto entry = f.Entry();
    entry.fault = fault;
    f.server.Set(f.q, entry);
    CHECK(f.Ask(f.q).answer->services.size() == 1);
    CHECK(f.resolver->counters().ignored == 1);
  }
  ResolverFixture f;
  auto entry = f.Entry();
  entry.fault = Fault::kWrongSource;
  f.server.Set(f.q, entry);
  CHECK(!f.Ask(f.q).answer);
  CHECK(f.resolver->counters().ignored == f.limits.dns_attempts);
}

TEST_CASE("dns: upper-case names, a server without EDNS0 and a long datagram are handled") {
  ResolverFixture f;
  auto entry = f.Entry();
  entry.fault = Fault::kUpperCase;
  f.server.Set(f.q, entry);
  CHECK(f.Ask(f.q).answer);
  entry.fault = Fault::kNoEdns;
  f.server.Set(f.q, entry);
  CHECK(f.Ask(f.q, true).answer);
  CHECK(f.server.datagrams() == 3);
  f.server.Set(f.q, f.Entry(20));  // more than 512 bytes, less than the size requested with EDNS0
  CHECK(f.Ask(f.q, true).answer->services.size() == 20);
  CHECK(f.resolver->counters().tcp == 0);
}

TEST_CASE("dns: truncated answers are fetched over TCP, on one shared connection") {
  ResolverFixture f;
  f.server.Set(f.q, f.Entry(200));
  CHECK(f.Ask(f.q).answer->services.size() == 200);
  CHECK(f.Ask(f.q, true).answer->services.size() == 200);
  auto twice = f.Entry(200);
  twice.tcp = Tcp::kTwice;
  f.server.Set(f.q, twice);
  CHECK(f.Ask(f.q, true).answer->services.size() == 200);
  CHECK(f.Ask(f.q, true).answer->services.size() == 200);
  CHECK(f.server.connections() == 1);
  lab::RunEventLoopUntil(f.loop, f.clock, f.clock.Now() + f.limits.dns_tcp_idle_timeout + 0.1);
  CHECK(f.Ask(f.q, true).answer);
  CHECK(f.server.connections() == 2);
}

TEST_CASE("dns: if TCP fails after a truncation the stale answer is used, never the truncated one") {
  for (const Tcp tcp : {Tcp::kClosesImmediately, Tcp::kFirstByteOnly, Tcp::kRefuses}) {
    ResolverFixture f;
    f.server.Set(f.q, f.Entry(3));
    CHECK(f.Ask(f.q).answer->services.size() == 3);
    auto entry = f.Entry(2);
    entry.truncated = true;
    entry.tcp = tcp;
    if (tcp == Tcp::kRefuses) f.server.SetTcp(false);
    f.server.Set(f.q, entry);
    const LookupResult result = f.Ask(f.q, true);
    CHECK(result.stale);
    CHECK(result.answer->services.size() == 3);
    ResolverFixture empty;  // with an empty cache there is no answer
    if (tcp == Tcp::kRefuses) empty.server.SetTcp(false);
    empty.server.Set(empty.q, entry);
    CHECK(!empty.Ask(empty.q).answer);
  }
}

TEST_CASE("dns: after failures, refusals and timeouts the stale answer is used until it expires") {
  ResolverFixture f;
  f.server.Set(f.q, f.Entry());
  CHECK(f.Ask(f.q).answer);
  auto entry = f.Entry();
  for (const Rcode rcode : {Rcode::kServFail, Rcode::kRefused}) {
    entry.rcode = rcode;
    f.server.Set(f.q, entry);
    const LookupResult result = f.Ask(f.q, true);
    CHECK(result.stale);
    CHECK(result.answer);
    CHECK(std::string(result.error) == "no server has answered");
  }
  f.server.SetSilent(true);
  f.clock.Advance(600);
  CHECK(f.Ask(f.q).stale);
  f.clock.Advance(10 + f.limits.dns_max_stale);
  CHECK(!f.Ask(f.q).answer);
  f.server.SetSilent(false);
  f.server.Remove(f.q);
  CHECK(f.Ask(f.q).answer->kind == Answer::Kind::kNoName);  // 'no such name' is an answer
}

TEST_CASE("dns: an answer that arrives after its attempt is ignored, and that of the next attempt is used") {
  ResolverFixture f;
  auto entry = f.Entry();
  entry.delay = 1;  // longer than the timeout of the first attempt, shorter than that of a later one
  f.server.Set(f.q, entry);
  const LookupResult slow = f.Ask(f.q);
  CHECK(slow.answer);
  CHECK(f.server.datagrams() >= 2);
  entry.delay = 30;  // longer than the TTL of 10 s
  f.server.Set(f.q, entry);
  f.clock.Advance(20);
  CHECK(f.Ask(f.q).stale);
  lab::RunEventLoopUntil(f.loop, f.clock, f.clock.Now() + 31);  // the late answers arrive at closed ports
  CHECK(f.resolver->counters().answers == 1);
}

TEST_CASE("dns: received TTLs of 0 and 2^31 count as 0, and without EDNS0 long answers need TCP") {
  ResolverFixture f;
  auto entry = f.Entry();
  for (const std::uint32_t ttl : {0U, 0x80000000U}) {
    entry.answers[0].ttl = ttl;
    f.server.Set(f.q, entry);
    const LookupResult result = f.Ask(f.q, true);
    CHECK(result.answer->ttl == 0);
    CHECK(result.refresh_at <= f.clock.Now() + f.limits.dns_min_ttl);
  }
  auto many = f.Entry(20);  // more than 512 bytes
  many.fault = Fault::kNoEdns;
  f.server.Set(f.q, many);
  CHECK(f.Ask(f.q, true).answer->services.size() == 20);
  CHECK(f.server.tcp_queries() == 1);
}

TEST_CASE("dns: after a timeout another server is asked, and is preferred from then on") {
  ResolverFixture f;
  f.server.SetSilent(true);
  f.second.Set(f.q, f.Entry());
  f.Start(2);
  CHECK(f.Ask(f.q).answer);
  CHECK(f.server.datagrams() == 1);
  const long before = f.server.datagrams();
  for (int i = 0; i < 5; ++i) CHECK(f.Ask(f.q, true).answer);
  CHECK(f.server.datagrams() <= before + 1);  // the first server is retried occasionally
}

TEST_CASE("dns: a chain of aliases over several answers is followed, and an endless one is an error") {
  ResolverFixture f;
  lab::FakeNameServer::Entry alias;
  alias.answers = {MakeRecord("s.example", Type::kCname, 5, ParseName("t.example"))};
  f.server.Set(f.q, alias);
  auto entry = f.Entry();
  entry.answers = {MakeSrvRecord("t.example", 60, "h.example")};
  f.server.Set({ParseName("t.example"), Type::kSrv}, entry);
  const LookupResult result = f.Ask(f.q);
  CHECK(result.answer->services.size() == 1);
  CHECK(result.refresh_at < f.clock.Now() + 5);  // the TTL of the alias, which is shorter
  alias.answers = {MakeRecord("t.example", Type::kCname, 5, ParseName("s.example"))};
  f.server.Set({ParseName("t.example"), Type::kSrv}, alias);
  const LookupResult loop = f.Ask(f.q, true);
  CHECK(std::string(loop.error) == "too many aliases in a row");
  CHECK(loop.stale);
}

TEST_CASE("dns: 5,000 concurrent lookups run in limited numbers and all finish") {
  ResolverFixture f;
  f.limits.dns_concurrent_lookups = 64;
  f.Start();
  int finished = 0;
  for (int i = 0; i < 5000; ++i)
    f.resolver->Ask({ParseName("n" + std::to_string(i) + ".example"), Type::kSrv}, false,
                    [&](const LookupResult& o) {
                      CHECK(o.answer.has_value());
                      ++finished;
                    });
  for (int i = 0; i < 2000 && finished < 5000; ++i)
    lab::RunEventLoopUntil(f.loop, f.clock, f.clock.Now() + 0.01);
  CHECK(finished == 5000);
  CHECK(f.server.datagrams() == 5000);
}

}  // namespace
}  // namespace opalroute::dns
