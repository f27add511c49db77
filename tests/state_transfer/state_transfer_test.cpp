// Learning from running instances: the judge's table, the format under damage, the carriers over loopback.
#include <doctest/doctest.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmath>
#include <filesystem>
#include <fstream>
#include <limits>
#include <nlohmann/json.hpp>
#include <random>

#include "lab/clock.h"
#include "lab/experiments/learning_experiment.h"
#include "lab/sockets/reserved_address.h"
#include "net/address.h"
#include "net/framing.h"
#include "relay/relay.h"
#include "state_transfer/datagram_exchange.h"
#include "state_transfer/snapshot_client.h"
#include "state_transfer/snapshot_file.h"
#include "state_transfer/snapshot_merger.h"
#include "state_transfer/snapshot_server.h"
#include "tests/support/program.h"

namespace opalroute::state_transfer {
namespace {

namespace fs = std::filesystem;

NamedRouteState Out(DestinationId destination, Seconds age) {
  NamedRouteState heard;
  heard.state.destination = destination;
  heard.state.failure_age = age;
  return heard;
}
NamedRouteState Wait(DestinationId destination, Seconds rest) {
  NamedRouteState heard;
  heard.state.destination = destination;
  heard.state.retry_after = rest;
  return heard;
}

// ---- the judge's table ---------------------------------------------------------------------------------

std::optional<RouteState> Judged(const std::vector<NamedRouteState>& told, Seconds age = 0,
                                 MergeTally* tally = nullptr) {
  SnapshotMerger judge({}, 100);
  int donor = 0;
  for (const NamedRouteState& heard : told) judge.Add(donor++, heard, 50 - age);
  const auto decided = judge.Merge(50);
  if (tally != nullptr) *tally = judge.tally();
  if (decided.empty()) return std::nullopt;
  return decided[0].state;
}

TEST_CASE("learning: a wait counts in full to its end and is never stretched") {
  CHECK(Judged({Wait(1, 4)})->retry_after == doctest::Approx(4));
  CHECK(Judged({Wait(1, 4)}, 3)->retry_after == doctest::Approx(1));
  CHECK(!Judged({Wait(1, 4)}, 4));
  CHECK(Judged({Wait(1, 4), Wait(1, 2)})->retry_after == doctest::Approx(4));
}

TEST_CASE("learning: a wait of hours holds for the longest that is allowed, from when it was told") {
  MergeTally tally;
  CHECK(Judged({Wait(1, 3000)}, 0, &tally)->retry_after == doctest::Approx(30));
  CHECK(tally.retry_afters_shortened == 1);
  CHECK(Judged({Wait(1, 3000)}, 29)->retry_after == doctest::Approx(1));
  CHECK(!Judged({Wait(1, 3000)}, 30));
}

TEST_CASE("learning: a view of health counts by its age") {
  CHECK(HealthWeight(0) == 1);
  CHECK(HealthWeight(8.1) == doctest::Approx(0.5));
  CHECK(HealthWeight(60) < 0.01);
  CHECK(*Judged({Out(1, 2)})->failure_age == 2);
  CHECK(*Judged({Out(1, 2)}, 5)->failure_age == 7);
  const auto old = Judged({Out(1, 26)});  // it may have ended just now: in doubt still, and no ramp under way
  CHECK(*old->failure_age == 26);
  CHECK(!old->recovery_age);
  MergeTally tally;
  CHECK(!Judged({Out(1, 28)}, 0, &tally));
  CHECK(tally.stale == 1);
  NamedRouteState back;
  back.state.destination = 1;
  back.state.recovery_age = 12.5;
  CHECK(*Judged({back})->recovery_age == 12.5);
  CHECK(!Judged({back}, 0.6));
  NamedRouteState pace;
  pace.state.destination = 1;
  pace.state.rejection_age = 5;
  pace.state.send_rate = 3;
  CHECK(Judged({pace})->send_rate == 3);
  CHECK(!Judged({pace}, 0.3));
  NamedRouteState barred;
  barred.state.destination = 1;
  barred.state.hedging_disabled_age = 8;
  CHECK(Judged({barred})->hedging_disabled_age);
  CHECK(!Judged({barred}, 0.2));
}

TEST_CASE("learning: of two donors that contradict, a later served call makes an outage a slow start") {
  NamedRouteState served;
  served.state.destination = 1;
  served.state.success_age = 1;
  MergeTally tally;
  const auto later = Judged({Out(1, 3), served}, 0, &tally);
  CHECK(!later->failure_age);
  CHECK(*later->recovery_age == 1);
  CHECK(tally.contradicted == 1);
  served.state.success_age = 4;  // before
  CHECK(*Judged({Out(1, 3), served})->failure_age == 3);
}

TEST_CASE("learning: a donor that is an hour behind tells nothing that counts") {
  NamedRouteState hour = Out(1, 3599);
  hour.state.recovery_age = hour.state.rejection_age = hour.state.latency_age =
      hour.state.hedging_disabled_age = hour.state.success_age = 3599;
  hour.state.send_rate = hour.state.latency = 1;
  MergeTally tally;
  CHECK(!Judged({hour}, 0, &tally));
  CHECK(tally.stale >= 4);
}

TEST_CASE("learning: no more lanes are kept than allowed") {
  SnapshotMerger judge({}, 3);
  for (int i = 0; i < 10; ++i) judge.Add(0, Wait(i, 1), 0);
  CHECK(judge.Merge(0).size() == 3);
  CHECK(judge.tally().too_many == 7);
}

// ---- the format ------------------------------------------------------------------------------------------

std::vector<NamedRouteState> Some(int count) {
  std::vector<NamedRouteState> lanes;
  for (int i = 0; i < count; ++i) {
    NamedRouteState heard = Out(i, i % 7);
    if (i % 3 == 0) heard.endpoint = "s-" + std::to_string(i);
    heard.state.retry_after = i % 5;
    heard.state.success_age = i;
    heard.state.latency_age = 1;
    heard.state.latency = 0.25;
    lanes.push_back(heard);
  }
  return lanes;
}

TEST_CASE("learning: what is written is read, to the microsecond") {
  SnapshotChunk chunk;
  chunk.since_begin = 0.125;
  chunk.routes = Some(20);
  const std::string bytes = EncodeFrame(chunk);
  const auto read = DecodeFrame(net::ReadFrame(bytes, kMaxFrameBytes).record);
  const SnapshotChunk& back = std::get<SnapshotChunk>(*read);
  CHECK(back.since_begin == 0.125);
  REQUIRE(back.routes.size() == 20);
  CHECK(back.routes[6].endpoint == "s-6");
  CHECK(*back.routes[6].state.failure_age == 6);
  CHECK(back.routes[6].state.retry_after == 1);
  CHECK(back.routes[6].state.latency == 0.25);
  CHECK(back.out_of_range == 0);
}

TEST_CASE("learning: values out of range are left out, and nothing else") {
  const auto through = [](NamedRouteState heard) {
    SnapshotChunk chunk;
    chunk.routes = {std::move(heard)};
    return std::get<SnapshotChunk>(*DecodeFrame(net::ReadFrame(EncodeFrame(chunk), kMaxFrameBytes).record));
  };
  // Written by hand: this program's own writer clamps. Field 4 (out_us) of a lane as a zigzag varint of -1.
  const auto raw = [](const std::string& lane) {
    const std::string chunk = std::string("\x12") + static_cast<char>(lane.size()) + lane;
    const std::string frame = std::string("\x1a") + static_cast<char>(chunk.size()) + chunk;
    return std::get<SnapshotChunk>(*DecodeFrame(frame));
  };
  const SnapshotChunk negative = raw("\x08\x02\x20\x01\x18\x02");
  REQUIRE(negative.routes.size() == 1);
  CHECK(!negative.routes[0].state.failure_age);
  CHECK(negative.routes[0].state.retry_after == doctest::Approx(1e-6));
  CHECK(negative.out_of_range == 1);
  const SnapshotChunk year = raw("\x08\x02\x18\x80\x80\xc0\xa3\xd2\x94\xdc\x39");  // a wait of about a year
  CHECK(year.routes[0].state.retry_after == 0);
  CHECK(year.out_of_range == 1);
  NamedRouteState pace;
  pace.state.rejection_age = 1;
  for (const double wrong : {std::nan(""), std::numeric_limits<double>::infinity(), -1.0, 0.0, 1e9}) {
    pace.state.send_rate = wrong;
    const SnapshotChunk read = through(pace);
    CHECK(!read.routes[0].state.rejection_age);
    CHECK(read.out_of_range == 1);
  }
  NamedRouteState name = Out(1, 1);
  name.endpoint = std::string(300, 'x');
  CHECK(through(name).routes.empty());
}

// Cut and flipped at every place: nothing crashes, and of what is read every value is in its range.
TEST_CASE("learning: damaged snapshots") {
  std::string whole = EncodeFrame(SnapshotHeader{kVersion, "n1", 5, 0});
  const std::size_t first = whole.size();
  for (int i = 0; i < 6; ++i) {
    SnapshotChunk chunk;
    chunk.routes = Some(12);
    whole += EncodeFrame(chunk);
  }
  const std::size_t last = whole.size();
  whole += EncodeFrame(SnapshotEnd{72});
  const auto read = [](const std::string& bytes, bool& broken) {
    FrameReader reader;
    reader.Append(bytes);
    std::size_t lanes = 0;
    while (const auto message = reader.Next()) {
      const auto* chunk = std::get_if<SnapshotChunk>(&*message);
      if (chunk == nullptr) continue;
      lanes += chunk->routes.size();
      for (const NamedRouteState& heard : chunk->routes) {
        CHECK(heard.state.retry_after >= 0);
        CHECK(heard.state.retry_after <= kMaxAge);
        CHECK((!heard.state.failure_age ||
               (*heard.state.failure_age >= 0 && *heard.state.failure_age <= kMaxAge)));
        CHECK(heard.endpoint.size() <= kMaxNameBytes);
      }
    }
    broken = reader.broken();
    return lanes;
  };
  bool broken = false;
  CHECK(read(whole, broken) == 72);
  std::size_t most = 0;
  for (std::size_t cut = 0; cut < whole.size(); ++cut) {
    const std::size_t lanes = read(whole.substr(0, cut), broken);
    CHECK(lanes % 12 == 0);  // what came whole before the break is used
    CHECK(lanes >= most);
    most = lanes;
  }
  std::mt19937 draw(3);
  for (int i = 0; i < 3000; ++i) {
    std::string damaged = whole;
    const std::size_t at = first + draw() % (last - first);
    damaged[at] = static_cast<char>(damaged[at] ^ (1 << draw() % 8));
    CHECK(read(damaged, broken) < 72);  // the checksum, or the length before it, has caught it
  }
  for (int i = 0; i < 3000; ++i) {  // sound frames round noise: protobuf itself has to stand it
    std::string noise(draw() % 200, '\0');
    for (char& c : noise) c = static_cast<char>(draw());
    read(net::Frame(noise), broken);
    DecodeDatagram("OLN1" + noise);
  }
}

TEST_CASE("learning: notes fit a datagram, most urgent first") {
  std::vector<NamedRouteState> lanes = {Out(1, 3), Wait(2, 1), Out(3, 1), Wait(4, 9)};
  NamedRouteState back;
  back.state.destination = 5;
  back.state.recovery_age = 1;
  lanes.push_back(back);
  NamedRouteState dull;
  dull.state.destination = 6;
  dull.state.success_age = 1;
  lanes.push_back(dull);
  const auto urgent = MostUrgent(lanes);
  REQUIRE(urgent.size() == 5);
  const int order[] = {4, 2, 3, 1, 5};
  for (std::size_t i = 0; i < 5; ++i) CHECK(urgent[i].state.destination == order[i]);

  std::vector<std::pair<int, std::string>> sent;
  const auto send = [&](int peer, const std::string& bytes) { sent.emplace_back(peer, bytes); };
  DatagramExchange asker({2, 4, 2}, 77, send);
  asker.RequestSome(10, 6, 3);
  REQUIRE(sent.size() == 2);
  for (const auto& [peer, bytes] : sent) CHECK(peer != 3);
  const auto asked = sent;
  sent.clear();
  DatagramExchange donor({2, 4, 2}, 5, send);
  const auto question = donor.Receive(20, 3, asked[0].second);
  REQUIRE(question.kind == DatagramExchange::Kind::kRequest);
  donor.Answer(3, question.note.nonce, MostUrgent(Some(500)));
  CHECK(sent.size() == 4);
  for (const auto& [peer, bytes] : sent) CHECK(bytes.size() <= 256);
  const auto answer = asker.Receive(10.1, asked[0].first, sent[0].second);
  CHECK(answer.kind == DatagramExchange::Kind::kAnswer);
  CHECK(answer.note.routes.size() > 5);
  CHECK(asker.Receive(10.1, 3, sent[0].second).kind == DatagramExchange::Kind::kIgnored);  // not asked
  CHECK(asker.Receive(12.1, asked[0].first, sent[0].second).kind ==
        DatagramExchange::Kind::kIgnored);  // too late
  CHECK(asker.Receive(10.1, asked[0].first, "else").kind == DatagramExchange::Kind::kNotOurs);
  sent.clear();
  NamedRouteState longest = Wait(1, 1);
  longest.endpoint = std::string(250, 'x');
  donor.Answer(3, 1, {longest, Wait(2, 1)});
  REQUIRE(sent.size() == 1);
  CHECK(DecodeDatagram(sent[0].second)->routes[0].state.destination == 2);
}

// ---- carriers
// ----------------------------------------------------------------------------------------------

class Collected : public SnapshotClient::Owner {
 public:
  void OnRouteState(int, const NamedRouteState& heard, Seconds made) override {
    lanes.push_back(heard);
    this->made = made;
  }
  void OnSnapshotsEnded(const std::vector<SnapshotClient::Report>& all) override {
    reports = all;
    ended = true;
  }
  std::vector<NamedRouteState> lanes;
  std::vector<SnapshotClient::Report> reports;
  Seconds made = 0;
  bool ended = false;
};

class Net {
 public:
  lab::Clock clock;
  net::EventLoop loop{clock};
  Limits limits;
  sockaddr_in any = *net::ParseAddress("127.0.0.1:0");

  void Until(const std::function<bool()>& done, int most = 20000) {
    for (int i = 0; i < most && !done(); ++i) {
      loop.RunOnce(0);
      if (i % 50 == 49) clock.Advance(0.001);
    }
  }
  Collected Learn(const std::vector<sockaddr_in>& donors, Seconds time = 0.3) {
    Collected got;
    SnapshotClient learner(loop, donors, "me", time, limits, got);
    Until([&] { return got.ended; });
    CHECK(got.ended);  // whatever the donors do
    return got;
  }
};

// Accepts one learner and sends it these bytes; then ends, or hangs.
class Script {
 public:
  Script(Net& net, std::string bytes, bool ends)
      : listener_(net.loop, net.any, [this, bytes = std::move(bytes), ends](int fd) {
          CHECK(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
          if (ends) {
            shutdown(fd, SHUT_WR);
          }
          fd_ = fd;
        }) {}
  ~Script() {
    if (fd_ >= 0) close(fd_);
  }
  sockaddr_in address() const { return listener_.address(); }

 private:
  int fd_ = -1;
  net::Listener listener_;
};

RouteStateSource SourceOf(const std::vector<NamedRouteState>& lanes) {
  return [&lanes](std::optional<DestinationId>& from, int most) {
    const auto begin = static_cast<std::size_t>(std::max<DestinationId>(0, *from));
    const std::size_t end = std::min(lanes.size(), begin + static_cast<std::size_t>(most));
    from = end < lanes.size() ? std::optional<DestinationId>(static_cast<DestinationId>(end)) : std::nullopt;
    return std::vector<NamedRouteState>(lanes.begin() + static_cast<std::ptrdiff_t>(begin),
                                        lanes.begin() + static_cast<std::ptrdiff_t>(end));
  };
}

TEST_CASE("learning: 20,000 destinations come whole from a donor, in slices") {
  spdlog::set_level(spdlog::level::off);
  Net net;
  const auto lanes = Some(20000);
  SnapshotServer donor(net.loop, net.any, "donor", SourceOf(lanes), net.limits);
  Collected got;
  SnapshotClient learner(net.loop, {donor.address()}, "me", 30, net.limits, got);
  net.Until([&] { return got.ended; }, 200000);
  CHECK(got.reports[0].result == "whole");
  CHECK(got.reports[0].name == "donor");
  REQUIRE(got.lanes.size() == 20000);
  CHECK(got.lanes[19999].state.destination == 19999);
}

TEST_CASE("learning: whatever a donor does, the start goes on with what came whole") {
  spdlog::set_level(spdlog::level::off);
  Net net;
  const std::string begin = EncodeFrame(SnapshotHeader{kVersion, "donor", 5, 0});
  SnapshotChunk chunk;
  chunk.routes = Some(10);
  const std::string some = EncodeFrame(chunk);
  const auto play = [&](const std::string& bytes, bool ends, const char* end, std::size_t lanes) {
    Script script(net, bytes, ends);
    const Collected got = net.Learn({script.address()});
    CHECK(got.reports[0].result == end);
    CHECK(got.lanes.size() == lanes);
  };
  play(begin + some + EncodeFrame(SnapshotEnd{10}), true, "whole", 10);
  play(begin + some + some.substr(0, some.size() / 2), true, "cut", 10);  // it died
  play(begin + some + EncodeFrame(SnapshotEnd{11}), true, "cut", 10);     // it lost a chunk
  play("", false, "late", 0);                                             // it hangs: SIGSTOP
  play(begin + some.substr(0, 9), false, "late", 0);                      // it dribbles
  play("HTTP/1.1 400 Bad Request\r\n\r\n", true, "garbled", 0);
  play(some, true, "garbled", 0);  // no beginning
  play(EncodeFrame(SnapshotHeader{kVersion + 1, "donor", 5, 0}) + some, true, "newer", 0);
  play(EncodeFrame(SnapshotHeader{0, "donor", 5, 0}) + some, true, "older", 0);
  play(EncodeFrame(SnapshotHeader{kVersion, "me", 5, 0}) + some, true, "itself", 0);
  play(begin + EncodeFrame(SnapshotHeader{kVersion, "donor", 0, 0}) + EncodeFrame(SnapshotEnd{0}), true,
       "whole", 0);  // it knows nothing
  net.limits.learn_lanes = 25;
  play(begin + some + some + some + some, true, "too_much", 30);
  const int closed = net::OpenListener(net.any);
  const sockaddr_in nobody = net::BoundAddress(closed);
  close(closed);
  CHECK(net.Learn({nobody}).reports[0].result == "refused");
  Script one(net, begin + some + EncodeFrame(SnapshotEnd{10}), true), other(net, "", false);
  const Collected both = net.Learn({one.address(), other.address()});
  CHECK(both.reports[0].result == "whole");
  CHECK(both.reports[1].result == "late");
  CHECK(both.lanes.size() == 10);
}

// Guards against clocks that differ, and against a donor that stood still between a chunk's making and its
// way.
TEST_CASE("learning: a chunk's age is its own, whenever it comes") {
  spdlog::set_level(spdlog::level::off);
  Net net;
  SnapshotChunk chunk;
  chunk.since_begin = 0;
  chunk.routes = {Wait(1, 2)};
  const std::string begin = EncodeFrame(SnapshotHeader{kVersion, "donor", 5, 0}),
                    rest = EncodeFrame(chunk) + EncodeFrame(SnapshotEnd{1});
  int fd = -1;
  net::Listener donor(net.loop, net.any, [&](int accepted) {
    fd = accepted;
    CHECK(send(fd, begin.data(), begin.size(), MSG_NOSIGNAL) > 0);
  });
  Collected got;
  SnapshotClient learner(net.loop, {donor.address()}, "me", 10, net.limits, got);
  net.Until([&] { return fd >= 0; });
  net.Until([] { return false; }, 100);
  const Seconds began = net.clock.Now();
  net.clock.Advance(1.5);  // the chunk was made at once, and is on its way for so long
  CHECK(send(fd, rest.data(), rest.size(), MSG_NOSIGNAL) > 0);
  net.Until([&] { return got.ended; });
  close(fd);
  REQUIRE(got.lanes.size() == 1);
  CHECK(got.made <= began);
  CHECK(got.made >= began - 0.05);
}

TEST_CASE("learning: the state folder keeps what is urgent, and the time between counts as age") {
  const fs::path folder = fs::temp_directory_path() / ("opalroute-learn-" + std::to_string(getpid()));
  fs::create_directories(folder);
  const SnapshotFile file(folder.string(), 64 * 1024);
  CHECK(file.Load().result == "none");
  REQUIRE(file.Save("n1", 123456, Some(100)));
  const auto saved = file.Load();
  CHECK(saved.result == "whole");
  CHECK(saved.written_at == 123456);
  CHECK(saved.routes.size() == 100);
  REQUIRE(file.Save("n1", 1, Some(20000)));  // more than there is room for
  CHECK(fs::file_size(file.path()) <= 32 * 1024 - 512);
  CHECK(file.Load().result == "whole");
  CHECK(file.Load().routes.size() > 300);
  const auto size = fs::file_size(file.path());
  for (std::uintmax_t cut = 0; cut < size; cut += 501) {
    fs::resize_file(file.path(), size - cut);
    CHECK((cut == 0) == (file.Load().result == "whole"));
  }
  fs::remove_all(folder);
}

// ---- whole relays
// ----------------------------------------------------------------------------------------------

nlohmann::json BaseConfig(const fs::path& state, const std::string& name) {
  nlohmann::json config;
  std::ifstream(fs::path(EXCHANGES) / "base.json") >> config;
  fs::create_directories(state);
  config["name"] = name;
  config["state"] = state.string();
  config["discovery"] = "127.0.0.1:1";
  config["known"]["instances"].push_back({{"instanceId", "e1"},
                                          {"hostPort", "127.0.0.1:1"},
                                          {"zone", "ground"},
                                          {"machineType", "small"},
                                          {"cell", 7},
                                          {"lifecycle", "ready"},
                                          {"weight", 20.0}});
  return config;
}

TEST_CASE("learning: a whole tier that starts at once, each from the others") {
  spdlog::set_level(spdlog::level::off);
  const fs::path folder = fs::temp_directory_path() / ("opalroute-tier-" + std::to_string(getpid()));
  Net net;
  const lab::ReservedAddress reserved[3];
  std::vector<std::unique_ptr<Config>> configs;
  std::vector<std::unique_ptr<Relay>> tier;
  for (std::size_t i = 0; i < 3; ++i) {
    const std::string name = "n" + std::to_string(i);
    configs.push_back(std::make_unique<Config>(
        config::Parse(BaseConfig(folder / name, name), [](const char*) { return std::nullopt; })));
    Operator settings;
    settings.learn.listen = reserved[i].address();
    for (const auto& any : reserved)  // itself too
      settings.learn.from.push_back(any.address());
    tier.push_back(std::make_unique<Relay>(net.loop, *configs.back(), settings));
  }
  const auto ready = [&] {
    return std::all_of(tier.begin(), tier.end(),
                       [](const auto& relay) { return relay->state_transfer()->done(); });
  };
  CHECK(!ready());
  const Seconds began = net.clock.Now();
  net.Until(ready);
  CHECK(ready());
  CHECK(net.clock.Now() - began < 0.31);
  tier.clear();
  fs::remove_all(folder);
}

TEST_CASE("learning: processes; the donor runs, stands still, and the learner is killed while it learns") {
  const fs::path folder = fs::temp_directory_path() / ("opalroute-processes-" + std::to_string(getpid()));
  const auto write = [&](const std::string& name) {
    const fs::path file = folder / (name + ".json");
    const auto config = BaseConfig(folder / name, name);
    std::ofstream(file) << config.dump();
    return file;
  };
  const fs::path donor_config = write("donor"), learner_config = write("learner");
  const lab::ReservedAddress reserved;
  const std::string address = net::FormatAddress(reserved.address());
  Program donor(donor_config, "127.0.0.1:1", {"run", "--learn-listen", address});
  REQUIRE(donor.Says("listening"));
  const auto learn = [&](const char* milliseconds) {
    return std::vector<std::string>{"run",           "--learn-from",    address,
                                    "--learn-state", "--learn-time-ms", milliseconds};
  };
  {
    Program learner(learner_config, "127.0.0.1:1", learn("10000"));
    const std::string heard = learner.Line("learn_heard");
    CHECK_MESSAGE(heard.find("name=donor end=whole") != std::string::npos, heard);
    CHECK(learner.Says("learned carrier=tcp"));
  }
  donor.Signal(SIGSTOP);
  {
    Program learner(learner_config, "127.0.0.1:1", learn("50"));
    CHECK(learner.Line("learn_heard").find("end=late") != std::string::npos);
    CHECK(learner.Says("learned carrier=tcp lanes=0"));
  }
  {
    Program killed(learner_config, "127.0.0.1:1", learn("10000"));
    REQUIRE(killed.Says("listening"));
  }  // SIGKILL
  donor.Signal(SIGCONT);
  Program again(learner_config, "127.0.0.1:1", learn("10000"));
  CHECK(again.Line("learn_heard carrier=tcp").find("end=whole") != std::string::npos);
  again.Signal(SIGTERM);
  CHECK(again.ExitStatus() == 0);
  fs::remove_all(folder);
}

// ---- the experiment
// -------------------------------------------------------------------------------------------

TEST_CASE("learning: a relay that starts while its partner is shut, by each carrier") {
  spdlog::set_level(spdlog::level::off);
  const std::string folder =
      (fs::temp_directory_path() / ("opalroute-experiment-" + std::to_string(getpid()))).string();
  using Carrier = lab::LearningRun::Carrier;
  const auto without = lab::RunLearning({3, true, Carrier::kNone}, folder);
  CHECK(without.newcomer_shut + without.in_wait > 0);  // else the runs below would prove nothing
  for (const Carrier carrier : {Carrier::kTcp, Carrier::kNotes, Carrier::kState}) {
    CAPTURE(static_cast<int>(carrier));
    const auto with = lab::RunLearning({3, true, carrier}, folder);
    CHECK(with.collapses == 0);
    CHECK(with.in_wait == 0);
    CHECK(with.own_breaches == 0);
    CHECK(with.twice == 0);
    CHECK(with.lost == 0);
  }
}

}  // namespace
}  // namespace opalroute::state_transfer
