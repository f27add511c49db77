// SRV beside the partner list: how soon each is heard, what reaches machines that are gone, and what names
// cost.
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "discovery/merged_endpoint_source.h"
#include "lab/clock.h"
#include "lab/dns/name_server.h"
#include "lab/draw.h"
#include "lab/experiments/experiments.h"
#include "lab/statistics.h"
#include "net/address.h"

namespace opalroute::lab {

namespace {

using State = EndpointRecord::Status;

constexpr long long kDestination = 7;
constexpr int kEndpoints = 4;
constexpr net::Seconds kBetween = 30;    // changes
constexpr net::Seconds kDrainLasts = 5;  // from a drain until the machine is gone
constexpr Range kListLate{1, 4};         // the platform's
constexpr net::Seconds kMessageEvery = 0.05;

dns::Name NameOf(const std::string& text) { return *dns::Name::Parse(text); }

// One destination whose machines are replaced one after the other: drained, gone, and another in its place.
class Life : private EndpointSource::Listener {
 public:
  // lifetime 0: the list alone.
  Life(std::uint32_t lifetime, std::uint64_t seed)
      : lifetime_(lifetime), random_(seed, 8), loop_(clock_), server_(loop_) {
    config_.zones = {"z0"};
    config_.kinds = {"plain"};
    config_.settings.kinds = {{false, 1}};
    settings_.dns.servers = {server_.address()};
    if (lifetime > 0) settings_.srv_names = {{"_api._tcp.example", kDestination}};
    for (int machine = 0; machine < 256; ++machine)
      settings_.srv_own.emplace_back(kDestination, AddressOf(machine));
    for (next_ = 0; next_ < kEndpoints; ++next_) serving_.push_back(next_);
    PublishZone();
    pool_ = std::make_unique<MergedEndpointSource>(loop_, config_, settings_,
                                                   static_cast<EndpointSource::Listener&>(*this));
    EndpointListUpdate list;
    list.complete = true;
    for (const int machine : serving_) list.endpoints.push_back(MemberOf(machine, State::kInService));
    OnEndpointList(pool_->ApplyCached(list));
  }

  void Play(int changes) {
    Message();
    RunEventLoopUntil(loop_, clock_, clock_.Now() + 5);
    for (int i = 0; i < changes; ++i) {
      Replace(static_cast<std::size_t>(random_(kEndpoints)));
      RunEventLoopUntil(loop_, clock_, clock_.Now() + kBetween * (0.8 + 0.4 * DrawUnit(random_)));
    }
  }

  std::vector<double> drains, arrivals;  // seconds from the change until it was heard
  long messages = 0, gone = 0;           // sent to somebody, and to a machine that was gone

 private:
  static sockaddr_in AddressOf(int machine) {
    return *net::ParseAddress("127.0.1." + std::to_string(machine) + ":80");
  }
  static EndpointRecord MemberOf(int machine, State state) {
    return {"m" + std::to_string(machine), "z0", "plain", AddressOf(machine), kDestination, state, 0};
  }
  void PublishZone() {
    NameServer::Entry entry;
    for (const int machine : serving_) {
      const std::string host = "h" + std::to_string(machine) + ".example";
      entry.answers.push_back({NameOf("_api._tcp.example"), dns::Type::kSrv, dns::kInternet, lifetime_,
                               dns::Srv{1, 1, 80, NameOf(host)}});
      NameServer::Entry address;
      address.answers = {{NameOf(host), dns::Type::kA, dns::kInternet, 3600, AddressOf(machine).sin_addr}};
      server_.Set({NameOf(host), dns::Type::kA}, address);
    }
    server_.Set({NameOf("_api._tcp.example"), dns::Type::kSrv}, entry);
  }
  void ListSays(int machine, State state) {
    EndpointListUpdate news;
    news.endpoints = {MemberOf(machine, state)};
    loop_.At(clock_.Now() + DrawFrom(kListLate, random_), [this, news] { pool_->OnEndpointList(news); });
  }
  void Replace(std::size_t which) {
    const int old = serving_[which], fresh = next_++;
    serving_[which] = fresh;
    PublishZone();
    left_at_[net::FormatAddress(AddressOf(old))] = came_at_[net::FormatAddress(AddressOf(fresh))] =
        clock_.Now();
    ListSays(fresh, State::kInService);
    ListSays(old, State::kDraining);
    loop_.At(clock_.Now() + kDrainLasts, [this, old] {
      gone_[net::FormatAddress(AddressOf(old))] = true;
      ListSays(old, State::kRemoved);
    });
  }
  void OnEndpointList(const EndpointListUpdate& news) override {
    if (news.complete) told_.clear();
    for (const EndpointRecord& m : news.endpoints) {
      const std::string address = net::FormatAddress(m.address);
      if (m.status == State::kInService) told_[m.id] = address;
      if (m.status != State::kInService) told_.erase(m.id);
      const auto left = left_at_.find(address), came = came_at_.find(address);
      if (m.status != State::kInService && left != left_at_.end()) {
        drains.push_back(clock_.Now() - left->second);
        left_at_.erase(left);
      }
      if (m.status == State::kInService && came != came_at_.end()) {
        arrivals.push_back(clock_.Now() - came->second);
        came_at_.erase(came);
      }
    }
  }
  void OnWatchFailed() override {}
  void Message() {
    if (!told_.empty()) {
      auto it = told_.begin();
      std::advance(it, random_(static_cast<std::uint32_t>(told_.size())));
      ++messages;
      gone += gone_.count(it->second) > 0;
    }
    loop_.At(clock_.Now() + kMessageEvery, [this] { Message(); });
  }

  const std::uint32_t lifetime_;
  pcg32 random_;
  SimulatedClock clock_;
  net::EventLoop loop_;
  NameServer server_;
  Config config_;
  Operator settings_;
  std::vector<int> serving_;
  int next_ = 0;
  std::map<std::string, double> left_at_, came_at_;
  std::map<std::string, bool> gone_;
  std::map<std::string, std::string> told_;  // addresses in service, by id
  std::unique_ptr<MergedEndpointSource> pool_;
};

double WallSeconds() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

class Nobody : public EndpointSource::Listener {
  void OnEndpointList(const EndpointListUpdate&) override {}
  void OnWatchFailed() override {}
};

void PrintNames(int names, std::uint32_t lifetime) {
  SimulatedClock clock;
  net::EventLoop loop(clock);
  NameServer server(loop);
  Config config;
  Operator settings;
  Nobody nobody;
  settings.dns.servers = {server.address()};
  NameServer::Entry host;
  host.answers = {
      {NameOf("host.example"), dns::Type::kA, dns::kInternet, 3600, in_addr{htonl(INADDR_LOOPBACK)}}};
  server.Set({NameOf("host.example"), dns::Type::kA}, host);
  for (int i = 0; i < names; ++i) {
    const std::string name = "_api._tcp.p" + std::to_string(i) + ".example";
    NameServer::Entry entry;
    for (const std::uint16_t port : {80, 81})
      entry.answers.push_back({NameOf(name), dns::Type::kSrv, dns::kInternet, lifetime,
                               dns::Srv{1, 1, port, NameOf("host.example")}});
    server.Set({NameOf(name), dns::Type::kSrv}, entry);
    settings.srv_names.emplace_back(name, i);
  }
  const std::size_t before = mallinfo2().uordblks;
  MergedEndpointSource pool(loop, config, settings, nobody);
  const double from = clock.Now();
  while (pool.pending_names() > 0) RunEventLoopUntil(loop, clock, clock.Now() + 0.01);
  const std::size_t after = mallinfo2().uordblks;
  const double took = clock.Now() - from;
  long most = 0, all = 0;
  const double steady = clock.Now();
  while (clock.Now() < steady + 2 * lifetime) {
    const long asked = server.datagrams();
    RunEventLoopUntil(loop, clock, clock.Now() + 1);
    most = std::max(most, server.datagrams() - asked);
    all += server.datagrams() - asked;
  }
  std::printf(
      "%d names of %u s: %.0f queries a second in the mean, %ld at most; %.0f bytes a name; all known after "
      "%.2f s\n",
      names, lifetime, static_cast<double>(all) / (clock.Now() - steady), most,
      static_cast<double>(after - before) / names, took);
}

void PrintLargeAnswer() {
  dns::Message message;
  message.response = true;
  message.questions = {{NameOf("_api._tcp.example"), dns::Type::kSrv}};
  std::vector<SrvTarget> targets;
  EndpointMerge merge(EndpointMergeOptions{});
  EndpointListUpdate list;
  list.complete = true;
  for (int i = 0; dns::Encode(message).size() < 65'400; ++i) {
    const std::string host = "h" + std::to_string(i) + ".example";
    for (int port = 1; port <= 4; ++port) {
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_addr.s_addr = htonl((127U << 24) + 65536 + static_cast<std::uint32_t>(i));
      address.sin_port = htons(static_cast<std::uint16_t>(port));
      message.answers.push_back({NameOf("_api._tcp.example"), dns::Type::kSrv, dns::kInternet, 60,
                                 dns::Srv{1, 1, static_cast<std::uint16_t>(port), NameOf(host)}});
      targets.push_back({host, address, 1, 1});
      list.endpoints.push_back(
          {host + std::to_string(port), "", "", address, kDestination, State::kInService, 1});
    }
  }
  merge.OnList(0, list);
  const std::string bytes = dns::Encode(message);
  std::vector<double> reads, merges;
  for (int i = 0; i < 51; ++i) {
    const double begins = WallSeconds();
    const auto decoded = dns::Decode(bytes);
    const auto answer = dns::ReadAnswer(std::get<dns::Message>(decoded), 0, message.questions[0]);
    const double read = WallSeconds();
    merge.OnTargets(i, kDestination, targets, true);
    merges.push_back((WallSeconds() - read) * 1e3);
    reads.push_back((read - begins) * 1e3 + (std::holds_alternative<dns::Answer>(answer) ? 0 : 1e9));
  }
  std::printf("an answer of %zu bytes with %zu targets: read in %.2f ms, joined in %.2f ms (medians of 51)\n",
              bytes.size(), targets.size(), Median(reads), Median(merges));
}

}  // namespace

int SrvTable(int changes) {
  std::printf(
      "%d machines replaced one after the other, the list late by %.0f to %.0f s, gone %.0f s after the "
      "drain\n\n"
      "| source | a drain is heard after: median s | worst s | a new one after: median s | worst s | of the "
      "messages "
      "to machines gone |\n|---|---|---|---|---|---|\n",
      changes, kListLate.least, kListLate.most, kDrainLasts);
  bool holds = true;
  double alone = 0;
  for (const std::uint32_t lifetime : {0U, 1U, 2U, 5U, 10U, 30U}) {
    Life life(lifetime, 1);
    life.Play(changes);
    const auto worst = [](const std::vector<double>& v) {
      return v.empty() ? 0 : *std::max_element(v.begin(), v.end());
    };
    const std::string name =
        lifetime == 0 ? "list alone" : "list and SRV of " + std::to_string(lifetime) + " s";
    std::printf("| %s | %.2f | %.2f | %.2f | %.2f | %.4f%% |\n", name.c_str(), Median(life.drains),
                worst(life.drains), Median(life.arrivals), worst(life.arrivals),
                100.0 * static_cast<double>(life.gone) / static_cast<double>(life.messages));
    if (lifetime == 0) alone = worst(life.drains);
    // SRV may make it sooner, and never later.
    holds =
        holds && worst(life.drains) <= alone + 0.1 && life.drains.size() == static_cast<std::size_t>(changes);
  }
  std::printf("\n");
  PrintNames(5000, 60);
  PrintNames(5000, 10);
  PrintLargeAnswer();
  std::printf("\n%s\n", holds ? "claim holds" : "claim fails");
  return holds ? 0 : 1;
}

}  // namespace opalroute::lab
