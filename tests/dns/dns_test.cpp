// DNS: the codec against bytes written by hand and against a packaged library, the cache's clock, and the
// resolver against a stand-in name server that misbehaves in every way it knows.
#include <doctest/doctest.h>
#include <ldns/ldns.h>

#include <array>
#include <cmath>
#include <map>
#include <pcg_random.hpp>

#include "dns/cache.h"
#include "dns/resolver.h"
#include "dns/retry_pacer.h"
#include "dns/servers.h"
#include "lab/clock.h"
#include "lab/dns/name_server.h"

namespace opalroute::dns {
namespace {

Name N(const std::string& text) { return *Name::Parse(text); }
Record Rr(const std::string& name, Type type, std::uint32_t lifetime, decltype(Record::data) data) {
  return {N(name), type, kInternet, lifetime, std::move(data)};
}
Record SrvRr(const std::string& name, std::uint32_t lifetime, const std::string& target,
             std::uint16_t port = 80) {
  return Rr(name, Type::kSrv, lifetime, Srv{1, 10, port, N(target)});
}

// ---- codec ---------------------------------------------------------------------------------------------

const std::string kHeader("\x12\x34\x81\x80\x00\x01\x00\x01\x00\x00\x00\x00", 12);
const std::string kQuestion(
    "\x01"
    "a\x02"
    "Bc\x00\x00\x21\x00\x01",
    10);  // a.Bc, SRV: from byte 12

TEST_CASE("dns: a compressed answer is read, in lower case") {
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
  CHECK(m->answers[0].lifetime == 60);
  const auto& data = std::get<Srv>(m->answers[0].data);
  CHECK(data.priority == 1);
  CHECK(data.weight == 2);
  CHECK(data.port == 8080);
  CHECK(data.target == N("x.BC."));
}

TEST_CASE("dns: every fault is told with its byte") {
  const auto fault = [](const std::string& bytes) {
    const auto decoded = Decode(bytes);
    REQUIRE(std::holds_alternative<Fault>(decoded));
    const Fault& f = std::get<Fault>(decoded);
    return std::to_string(f.at) + " " + f.what;
  };
  const std::string rest("\x00\x21\x00\x01\x00\x00\x00\x3c", 8);
  CHECK(fault("") == "0 a header of 12 bytes is expected");
  CHECK(fault(kHeader.substr(0, 11)) == "11 a header of 12 bytes is expected");
  CHECK(fault(kHeader + std::string("\xc0\x0c\x00\x21\x00\x01", 6)) ==
        "12 a pointer must lead back");  // to itself
  CHECK(fault(kHeader + kQuestion + std::string("\xc0\x30", 2) + rest) == "22 a pointer must lead back");
  CHECK(fault(kHeader + kQuestion +
              std::string("\x01"
                          "b\xc0\x16",
                          4) +
              rest) == "24 a pointer must lead back");
  CHECK(fault(kHeader + kQuestion + "\x40") == "22 a label has at most 63 bytes");
  CHECK(fault(kHeader + kQuestion +
              "\x3f"
              "abc") == "22 a label goes on past the end");
  CHECK(fault(kHeader + kQuestion) == "22 a name goes on past the end");
  CHECK(fault(kHeader + kQuestion + "\xc0") == "22 a pointer has two bytes");
  CHECK(fault(kHeader + kQuestion + std::string("\xc0\x0c", 2) + rest + std::string("\x00\x09\x00", 3)) ==
        "34 a record's data goes on past the end");
  // The data of an SRV that says it has 7 bytes, and whose name goes on behind them.
  CHECK(fault(kHeader + kQuestion + std::string("\xc0\x0c", 2) + rest +
              std::string("\x00\x07\x00\x01\x00\x02\x1f\x90\x01x\x00", 11)) ==
        "43 a record's data has another length than it says");
  std::string longest;
  for (int i = 0; i < 5; ++i) longest += "\x3f" + std::string(63, 'x');
  CHECK(fault(kHeader + longest + '\0').find("a name has at most 255 bytes") != std::string::npos);
  // A truncated one is read as far as its question, whatever comes behind.
  std::string truncated = kHeader + kQuestion + "\xff\xff";
  truncated[2] = '\x83';
  CHECK(std::holds_alternative<Message>(Decode(truncated)));
}

Message Drawn(pcg32& random) {
  const auto name = [&] {
    std::string text;
    for (std::uint32_t i = 0, labels = 1 + random(4); i < labels; ++i)
      text += (i > 0 ? "." : "") + std::string(1 + random(8), static_cast<char>('a' + random(26)));
    return N(text + ".example");
  };
  Message m;
  m.id = static_cast<std::uint16_t>(random());
  m.response = m.recursion_available = true;
  m.questions = {{name(), Type::kSrv}};
  for (std::uint32_t i = 0, count = random(6); i < count; ++i) {
    const std::uint32_t lifetime = random(100000);
    switch (random(5)) {
      case 0:
        m.answers.push_back({name(), Type::kA, kInternet, lifetime, in_addr{random()}});
        break;
      case 1: {
        Address6 address;
        for (auto& byte : address) byte = static_cast<std::uint8_t>(random());
        m.answers.push_back({name(), Type::kAaaa, kInternet, lifetime, address});
        break;
      }
      case 2:
        m.answers.push_back({name(), Type::kCname, kInternet, lifetime, name()});
        break;
      case 3:
        m.answers.push_back({name(), Type::kSrv, kInternet, lifetime,
                             Srv{static_cast<std::uint16_t>(random()), static_cast<std::uint16_t>(random()),
                                 static_cast<std::uint16_t>(random()), name()}});
        break;
      default:
        m.authority.push_back({name(), Type::kSoa, kInternet, lifetime,
                               Soa{name(), name(), random(), random(), random(), random(), random()}});
    }
  }
  if (random(2) == 0) m.edns_bytes = static_cast<std::uint16_t>(512 + random(4000));
  return m;
}

// Ours is read by ldns; what ldns then writes, with names compressed, is read by us, and nothing is lost.
TEST_CASE("dns: a packaged library reads what we write, and we read what it writes") {
  pcg32 random(11);
  long compressed = 0;
  for (int i = 0; i < 2000; ++i) {
    const Message message = Drawn(random);
    const std::string bytes = Encode(message);
    ldns_pkt* packet = nullptr;
    REQUIRE(ldns_wire2pkt(&packet, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()) ==
            LDNS_STATUS_OK);
    CHECK(ldns_pkt_ancount(packet) == message.answers.size());
    for (std::size_t a = 0; a < message.answers.size(); ++a) {
      const ldns_rr* rr = ldns_rr_list_rr(ldns_pkt_answer(packet), a);
      CHECK(static_cast<int>(ldns_rr_get_type(rr)) == static_cast<int>(message.answers[a].type));
      CHECK(ldns_rr_ttl(rr) == message.answers[a].lifetime);
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

TEST_CASE("dns: chains of aliases are followed, and loops are none") {
  const Question q{N("s.example"), Type::kSrv};
  const auto read = [&](std::vector<Record> answers) {
    return ReadAnswer(Response(q, std::move(answers)), 7, q);
  };
  const auto chain =
      read({Rr("s.example", Type::kCname, 5, N("t.example")), SrvRr("t.example", 60, "h.example")});
  CHECK(std::get<Answer>(chain).services.size() == 1);
  CHECK(std::get<Answer>(chain).lifetime == 5);
  const auto open = read({Rr("s.example", Type::kCname, 5, N("t.example"))});
  CHECK(std::get<Answer>(open).kind == Answer::Kind::kAlias);
  CHECK(std::get<Answer>(open).alias == N("t.example"));
  const auto loop = read(
      {Rr("s.example", Type::kCname, 5, N("t.example")), Rr("t.example", Type::kCname, 5, N("s.example"))});
  CHECK(std::get<Unfit>(loop) == Unfit::kFailed);
  CHECK(std::get<Answer>(read({})).kind == Answer::Kind::kNoData);
  Message negative = Response(q, {});
  negative.rcode = Rcode::kNxDomain;
  negative.authority = {Rr("example", Type::kSoa, 300, Soa{N("a"), N("b"), 1, 2, 3, 4, 30})};
  CHECK(std::get<Answer>(ReadAnswer(negative, 7, q)).kind == Answer::Kind::kNoName);
  CHECK(std::get<Answer>(ReadAnswer(negative, 7, q)).lifetime == 30);
  CHECK(std::get<Unfit>(ReadAnswer(negative, 8, q)) == Unfit::kOther);
  CHECK(std::get<Unfit>(ReadAnswer(negative, 7, {N("x"), Type::kSrv})) == Unfit::kOther);
}

TEST_CASE("dns: lifetimes are clamped, refreshed ahead in a spread, and old answers last as long as stated") {
  CacheRules rules;
  Cache cache(rules);
  Answer answer;
  answer.kind = Answer::Kind::kRecords;
  const Question q{N("s.example"), Type::kSrv};
  answer.lifetime = 100;
  cache.Put(q, answer, 1000, 0.5);
  CHECK(cache.Find(q, 1000)->refresh_at == doctest::Approx(1040));  // the first time: any moment up to 80%
  for (const auto& [lifetime, counts] : {std::pair(0.0, 1.0), {100.0, 100.0}, {2147483647.0, 3600.0}}) {
    answer.lifetime = lifetime;
    cache.Put(q, answer, 1000, 0.5);
    CHECK(cache.Find(q, 1000 + counts - 0.001)->age == Cache::Age::kFresh);
    CHECK(cache.Find(q, 1000 + counts)->age == Cache::Age::kStale);
    CHECK(cache.Find(q, 1000 + counts + 3599)->age == Cache::Age::kStale);
    CHECK(!cache.Find(q, 1000 + counts + 3600));
    CHECK(cache.Find(q, 1000)->refresh_at == doctest::Approx(1000 + 0.8 * counts));
  }
  answer.kind = Answer::Kind::kNoName;
  CHECK(cache.LifetimeOf(answer) == 60);
  answer.kind = Answer::Kind::kRecords;
  answer.lifetime = 100;
  Seconds first = 1e9, last = 0;
  pcg32 random(1);
  for (int i = 0; i < 5000; ++i) {
    const Question name{N("n" + std::to_string(i)), Type::kSrv};
    for (int twice = 0; twice < 2; ++twice) cache.Put(name, answer, 0, random() * 0x1p-32);
    first = std::min(first, cache.Find(name, 0)->refresh_at);
    last = std::max(last, cache.Find(name, 0)->refresh_at);
  }
  CHECK(first < 70.5);
  CHECK(last > 89.5);
  CHECK(last <= 90);
  cache.Expire(1e6);
  CHECK(cache.size() == 0);
  rules.entries = 2;
  Cache small(rules);
  for (int i = 0; i < 3; ++i) small.Put({N("n" + std::to_string(i)), Type::kSrv}, answer, i, 0.5);
  CHECK(small.size() == 2);
  CHECK(!small.Find({N("n0"), Type::kSrv}, 3));
}

// The refreshes of many names on a scripted clock: when each is due it is answered, but for those that are
// due in an outage, which are answered together when it ends.
struct RefreshHistory {
  static constexpr int kNames = 5000;
  static constexpr Seconds kLifetime = 60, kLasts = 300;

  void Play(Seconds outage_from, Seconds outage_to) {
    const CacheRules rules;
    Cache cache(rules);
    Answer answer;
    answer.kind = Answer::Kind::kRecords;
    answer.lifetime = kLifetime;
    pcg32 random(7);
    std::multimap<Seconds, Question> due;
    for (int i = 0; i < kNames; ++i) due.emplace(0, Question{N("n" + std::to_string(i)), Type::kSrv});
    while (due.begin()->first < kLasts) {
      const auto [at, question] = *due.begin();
      due.erase(due.begin());
      const bool late = at >= outage_from && at < outage_to;
      const Seconds answered = late ? outage_to : at;
      if (!late && at > 0) ++by_second[static_cast<std::size_t>(at)];
      cache.Put(question, answer, answered, random() * 0x1p-32);
      due.emplace(cache.Find(question, answered)->refresh_at, question);
    }
  }
  // The steady rate is a refresh of each name in 0.8 of its lifetime; what chance adds stays under five
  // standard deviations of it.
  void Check(Seconds from) const {
    const double steady = kNames / (0.8 * kLifetime);
    const double most = steady + 5 * std::sqrt(steady);
    for (auto second = static_cast<std::size_t>(from); second < by_second.size(); ++second) {
      CAPTURE(second);
      CHECK(by_second[second] <= most);
    }
  }

  std::array<int, static_cast<std::size_t>(kLasts)> by_second{};
};

// Guards against a second wave of refreshes that begins before the first one has ended.
TEST_CASE("dns: refreshes of names that were first asked for at once keep to the steady rate") {
  RefreshHistory history;
  history.Play(0, 0);
  history.Check(0);
}

// Guards against names that an outage has brought together staying together.
TEST_CASE("dns: refreshes of names that were answered late together keep to the steady rate") {
  RefreshHistory history;
  history.Play(100, 115);
  history.Check(116);
}

TEST_CASE("dns: the fastest server that answers is asked first, one in backoff last") {
  Servers servers(3);
  CHECK(servers.Pick(0, {0, 0, 0}) == 0);
  servers.Answered(0, 0, 0.2);
  servers.Answered(1, 0, 0.1);
  servers.Answered(2, 0, 0.3);
  CHECK(servers.Pick(1, {0, 0, 0}) == 1);
  CHECK(servers.Pick(1, {0, 1, 0}) == 0);  // that was asked this already
  servers.Failed(1, 1, 0.5);
  CHECK(servers.Pick(1.4, {0, 0, 0}) == 0);
  CHECK(servers.Pick(1.6, {0, 0, 0}) == 1);  // its backoff is over
  CHECK(servers.Patience(1, 0) == doctest::Approx(0.4));
  CHECK(servers.Patience(1, 9) == 2);
}

TEST_CASE("dns: few questions are asked again after the usual time, many one after another") {
  RetryPacer few(5, 40);
  CHECK(few.NextFor(100, 0) == doctest::Approx(103.75));
  CHECK(few.NextFor(100, 0.5) == doctest::Approx(105));
  CHECK(few.NextFor(200, 0.5) == doctest::Approx(205));
  RetryPacer many(5, 40);
  Seconds last = 0;
  for (int i = 0; i < 1000; ++i) {
    const Seconds next = many.NextFor(100, 0);
    if (i > 0) CHECK(next - last == doctest::Approx(1 / 40.0));
    last = next;
  }
}

// ---- the resolver
// ------------------------------------------------------------------------------------------

struct World {
  World() : loop(clock), server(loop), second(loop) {}
  void Start(int servers = 1) {
    std::vector<sockaddr_in> addresses = {server.address()};
    if (servers > 1) addresses.push_back(second.address());
    resolver = std::make_unique<Resolver>(loop, addresses, limits, 5);
  }
  Outcome Ask(const Question& question, bool newer = false) {
    if (!resolver) Start();
    std::optional<Outcome> outcome;
    resolver->Ask(question, newer, [&](const Outcome& o) { outcome = o; });
    for (int i = 0; i < 300 && !outcome; ++i) lab::PlayUntil(loop, clock, clock.Now() + 0.1);
    REQUIRE(outcome);
    return *outcome;
  }
  lab::NameServer::Entry Entry(int targets = 1) const {
    lab::NameServer::Entry entry;
    for (int i = 0; i < targets; ++i)
      entry.answers.push_back(SrvRr("s.example", 10, "host" + std::to_string(i) + ".example"));
    return entry;
  }
  const Question q{N("s.example"), Type::kSrv};
  Limits limits;
  lab::Clock clock;
  net::EventLoop loop;
  lab::NameServer server, second;
  std::unique_ptr<Resolver> resolver;
};

using Fault = lab::NameServer::Entry::Fault;
using Tcp = lab::NameServer::Entry::Tcp;

TEST_CASE("dns: equal questions share a flight, and the answer is kept for its lifetime") {
  World w;
  w.server.Set(w.q, w.Entry());
  w.Start();
  int answered = 0;
  for (int i = 0; i < 5; ++i)
    w.resolver->Ask(w.q, false, [&](const Outcome& o) { answered += o.answer.has_value(); });
  w.resolver->Forget(w.resolver->Ask(w.q, false, [&](const Outcome&) { answered += 100; }));
  CHECK(answered == 0);  // never before Ask returns
  lab::PlayUntil(w.loop, w.clock, w.clock.Now() + 0.1);
  CHECK(answered == 5);
  CHECK(w.server.datagrams() == 1);
  CHECK(w.Ask(w.q).answer->services[0].target == N("host0.example"));
  CHECK(w.server.datagrams() == 1);
  CHECK(w.Ask(w.q, true).answer);
  CHECK(w.server.datagrams() == 2);
}

TEST_CASE("dns: forged, late and garbled answers are passed over") {
  for (const Fault fault : {Fault::kWrongId, Fault::kWrongQuestion, Fault::kGarbage}) {
    World w;
    auto entry = w.Entry();
    entry.fault = fault;
    w.server.Set(w.q, entry);
    CHECK(w.Ask(w.q).answer->services.size() == 1);
    CHECK(w.resolver->counters().passed == 1);
  }
  World w;
  auto entry = w.Entry();
  entry.fault = Fault::kWrongSource;
  w.server.Set(w.q, entry);
  CHECK(!w.Ask(w.q).answer);
  CHECK(w.resolver->counters().passed == w.limits.dns_tries);
}

TEST_CASE("dns: names in capitals, a server without EDNS0, and a long datagram") {
  World w;
  auto entry = w.Entry();
  entry.fault = Fault::kUpperCase;
  w.server.Set(w.q, entry);
  CHECK(w.Ask(w.q).answer);
  entry.fault = Fault::kNoEdns;
  w.server.Set(w.q, entry);
  CHECK(w.Ask(w.q, true).answer);
  CHECK(w.server.datagrams() == 3);
  w.server.Set(w.q, w.Entry(20));  // over 512 bytes, under what EDNS0 asks for
  CHECK(w.Ask(w.q, true).answer->services.size() == 20);
  CHECK(w.resolver->counters().tcp == 0);
}

TEST_CASE("dns: what is truncated comes whole by TCP, over one connection") {
  World w;
  w.server.Set(w.q, w.Entry(200));
  CHECK(w.Ask(w.q).answer->services.size() == 200);
  CHECK(w.Ask(w.q, true).answer->services.size() == 200);
  auto twice = w.Entry(200);
  twice.tcp = Tcp::kTwice;
  w.server.Set(w.q, twice);
  CHECK(w.Ask(w.q, true).answer->services.size() == 200);
  CHECK(w.Ask(w.q, true).answer->services.size() == 200);
  CHECK(w.server.connections() == 1);
  lab::PlayUntil(w.loop, w.clock, w.clock.Now() + w.limits.dns_tcp_rest + 0.1);
  CHECK(w.Ask(w.q, true).answer);
  CHECK(w.server.connections() == 2);
}

TEST_CASE("dns: where TCP fails after a truncation the old set stands, never the shorter one") {
  for (const Tcp tcp : {Tcp::kClosesAtOnce, Tcp::kHalf, Tcp::kRefuses}) {
    World w;
    w.server.Set(w.q, w.Entry(3));
    CHECK(w.Ask(w.q).answer->services.size() == 3);
    auto entry = w.Entry(2);
    entry.truncated = true;
    entry.tcp = tcp;
    if (tcp == Tcp::kRefuses) w.server.SetTcp(false);
    w.server.Set(w.q, entry);
    const Outcome outcome = w.Ask(w.q, true);
    CHECK(outcome.stale);
    CHECK(outcome.answer->services.size() == 3);
    World fresh;  // and with nothing known there is no answer at all
    if (tcp == Tcp::kRefuses) fresh.server.SetTcp(false);
    fresh.server.Set(fresh.q, entry);
    CHECK(!fresh.Ask(fresh.q).answer);
  }
}

TEST_CASE("dns: failures, silence and refusals leave the old answer for as long as stated, then none") {
  World w;
  w.server.Set(w.q, w.Entry());
  CHECK(w.Ask(w.q).answer);
  auto entry = w.Entry();
  for (const Rcode rcode : {Rcode::kServFail, Rcode::kRefused}) {
    entry.rcode = rcode;
    w.server.Set(w.q, entry);
    const Outcome outcome = w.Ask(w.q, true);
    CHECK(outcome.stale);
    CHECK(outcome.answer);
    CHECK(std::string(outcome.why) == "no server has answered");
  }
  w.server.SetSilent(true);
  w.clock.Advance(600);
  CHECK(w.Ask(w.q).stale);
  w.clock.Advance(10 + w.limits.dns_stale);
  CHECK(!w.Ask(w.q).answer);
  w.server.SetSilent(false);
  w.server.Remove(w.q);
  CHECK(w.Ask(w.q).answer->kind == Answer::Kind::kNoName);  // that is an answer
}

TEST_CASE("dns: an answer slower than its try is passed over, and the next try's is taken") {
  World w;
  auto entry = w.Entry();
  entry.delay = 1;  // longer than the first try waits, shorter than a later one
  w.server.Set(w.q, entry);
  const Outcome slow = w.Ask(w.q);
  CHECK(slow.answer);
  CHECK(w.server.datagrams() >= 2);
  entry.delay = 30;  // longer than its own lifetime of 10 s
  w.server.Set(w.q, entry);
  w.clock.Advance(20);
  CHECK(w.Ask(w.q).stale);
  lab::PlayUntil(w.loop, w.clock, w.clock.Now() + 31);  // the late ones come to closed ports
  CHECK(w.resolver->counters().answers == 1);
}

TEST_CASE("dns: lifetimes of 0 and of 2^31 from the wire, and a long answer to one without EDNS0") {
  World w;
  auto entry = w.Entry();
  for (const std::uint32_t lifetime : {0U, 0x80000000U}) {
    entry.answers[0].lifetime = lifetime;
    w.server.Set(w.q, entry);
    const Outcome outcome = w.Ask(w.q, true);
    CHECK(outcome.answer->lifetime == 0);
    CHECK(outcome.refresh_at <= w.clock.Now() + w.limits.dns_least_lifetime);
  }
  auto many = w.Entry(20);  // over 512 bytes
  many.fault = Fault::kNoEdns;
  w.server.Set(w.q, many);
  CHECK(w.Ask(w.q, true).answer->services.size() == 20);
  CHECK(w.server.tcp_questions() == 1);
}

TEST_CASE("dns: another server helps out, and is asked first from then on") {
  World w;
  w.server.SetSilent(true);
  w.second.Set(w.q, w.Entry());
  w.Start(2);
  CHECK(w.Ask(w.q).answer);
  CHECK(w.server.datagrams() == 1);
  const long before = w.server.datagrams();
  for (int i = 0; i < 5; ++i) CHECK(w.Ask(w.q, true).answer);
  CHECK(w.server.datagrams() <= before + 1);  // tried again now and then
}

TEST_CASE("dns: a chain over several answers is followed, one without end is not") {
  World w;
  lab::NameServer::Entry alias;
  alias.answers = {Rr("s.example", Type::kCname, 5, N("t.example"))};
  w.server.Set(w.q, alias);
  auto entry = w.Entry();
  entry.answers = {SrvRr("t.example", 60, "h.example")};
  w.server.Set({N("t.example"), Type::kSrv}, entry);
  const Outcome outcome = w.Ask(w.q);
  CHECK(outcome.answer->services.size() == 1);
  CHECK(outcome.refresh_at < w.clock.Now() + 5);  // of the shorter lifetime
  alias.answers = {Rr("t.example", Type::kCname, 5, N("s.example"))};
  w.server.Set({N("t.example"), Type::kSrv}, alias);
  const Outcome loop = w.Ask(w.q, true);
  CHECK(std::string(loop.why) == "a chain of aliases without end");
  CHECK(loop.stale);
}

TEST_CASE("dns: 5,000 names asked for at once leave a few at a time, and all land") {
  World w;
  w.limits.dns_flights = 64;
  w.Start();
  int landed = 0;
  for (int i = 0; i < 5000; ++i)
    w.resolver->Ask({N("n" + std::to_string(i) + ".example"), Type::kSrv}, false, [&](const Outcome& o) {
      CHECK(o.answer.has_value());
      ++landed;
    });
  for (int i = 0; i < 2000 && landed < 5000; ++i) lab::PlayUntil(w.loop, w.clock, w.clock.Now() + 0.01);
  CHECK(landed == 5000);
  CHECK(w.server.datagrams() == 5000);
}

}  // namespace
}  // namespace opalroute::dns
