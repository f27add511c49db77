// Compares the endpoint list alone with the list and SRV records: how soon a change takes effect and how many
// requests go to removed machines. Also measures the cost of SRV names.
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
#include "lab/dns/fake_name_server.h"
#include "lab/draw.h"
#include "lab/experiments/experiments.h"
#include "lab/simulated_clock.h"
#include "lab/statistics.h"
#include "net/address.h"

namespace opalroute::lab {

namespace {

using Status = EndpointRecord::Status;

constexpr long long kDestination = 7;
constexpr int kEndpoints = 4;
constexpr net::Seconds kChangeInterval = 30;  // mean; each is drawn from 0.8 to 1.2 times this
constexpr net::Seconds kDrainDuration = 5;    // from the start of draining to the machine's removal
constexpr Range kListDelay{1, 4};             // seconds from a change until the platform's list has it
constexpr net::Seconds kSendInterval = 0.05;

dns::Name ParseName(const std::string& text) { return *dns::Name::Parse(text); }

// Simulates one destination whose machines are replaced one after the other: each is drained, then removed,
// while a new one serves in its place.
class ReplacementSimulation : private EndpointSource::Listener {
 public:
  // `ttl`: of the SRV records, in seconds; 0: the list alone.
  ReplacementSimulation(std::uint32_t ttl, std::uint64_t seed)
      : ttl_(ttl), random_(seed, 8), loop_(clock_), server_(loop_) {
    config_.zones = {"z0"};
    config_.kinds = {"plain"};
    config_.settings.kinds = {{false, 1}};
    settings_.dns.servers = {server_.address()};
    if (ttl > 0) settings_.srv_names = {{"_api._tcp.example", kDestination}};
    for (int machine = 0; machine < 256; ++machine)
      settings_.own_addresses.emplace_back(kDestination, AddressOf(machine));
    for (next_machine_ = 0; next_machine_ < kEndpoints; ++next_machine_) serving_.push_back(next_machine_);
    PublishZone();
    source_ = std::make_unique<MergedEndpointSource>(loop_, config_, settings_,
                                                     static_cast<EndpointSource::Listener&>(*this));
    EndpointListUpdate list;
    list.complete = true;
    for (const int machine : serving_) list.endpoints.push_back(EndpointFor(machine, Status::kInService));
    OnEndpointList(source_->ApplyCached(list));
  }

  void Run(int changes) {
    SendRequest();
    RunEventLoopUntil(loop_, clock_, clock_.Now() + 5);
    for (int i = 0; i < changes; ++i) {
      ReplaceMachine(static_cast<std::size_t>(random_(kEndpoints)));
      RunEventLoopUntil(loop_, clock_, clock_.Now() + kChangeInterval * (0.8 + 0.4 * DrawUniform(random_)));
    }
  }

  std::vector<double> drain_delays, arrival_delays;  // seconds from a change until the source reported it
  long requests = 0, requests_to_removed = 0;        // sent in all, and to removed machines

 private:
  static sockaddr_in AddressOf(int machine) {
    return *net::ParseAddress("127.0.1." + std::to_string(machine) + ":80");
  }
  static EndpointRecord EndpointFor(int machine, Status status) {
    return {"m" + std::to_string(machine), "z0", "plain", AddressOf(machine), kDestination, status, 0};
  }
  void PublishZone() {
    FakeNameServer::Entry entry;
    for (const int machine : serving_) {
      const std::string host = "h" + std::to_string(machine) + ".example";
      entry.answers.push_back({ParseName("_api._tcp.example"), dns::Type::kSrv, dns::kInternet, ttl_,
                               dns::Srv{1, 1, 80, ParseName(host)}});
      FakeNameServer::Entry address;
      address.answers = {{ParseName(host), dns::Type::kA, dns::kInternet, 3600, AddressOf(machine).sin_addr}};
      server_.Set({ParseName(host), dns::Type::kA}, address);
    }
    server_.Set({ParseName("_api._tcp.example"), dns::Type::kSrv}, entry);
  }
  // The platform's list reports the change after a random delay.
  void ReportInList(int machine, Status status) {
    EndpointListUpdate update;
    update.endpoints = {EndpointFor(machine, status)};
    loop_.At(clock_.Now() + DrawFrom(kListDelay, random_),
             [this, update] { source_->OnEndpointList(update); });
  }
  void ReplaceMachine(std::size_t index) {
    const int old = serving_[index], replacement = next_machine_++;
    serving_[index] = replacement;
    PublishZone();
    drained_at_[net::FormatAddress(AddressOf(old))] = added_at_[net::FormatAddress(AddressOf(replacement))] =
        clock_.Now();
    ReportInList(replacement, Status::kInService);
    ReportInList(old, Status::kDraining);
    loop_.At(clock_.Now() + kDrainDuration, [this, old] {
      removed_[net::FormatAddress(AddressOf(old))] = true;
      ReportInList(old, Status::kRemoved);
    });
  }
  void OnEndpointList(const EndpointListUpdate& update) override {
    if (update.complete) in_service_.clear();
    for (const EndpointRecord& endpoint : update.endpoints) {
      const std::string address = net::FormatAddress(endpoint.address);
      if (endpoint.status == Status::kInService) in_service_[endpoint.id] = address;
      if (endpoint.status != Status::kInService) in_service_.erase(endpoint.id);
      const auto drained = drained_at_.find(address), added = added_at_.find(address);
      if (endpoint.status != Status::kInService && drained != drained_at_.end()) {
        drain_delays.push_back(clock_.Now() - drained->second);
        drained_at_.erase(drained);
      }
      if (endpoint.status == Status::kInService && added != added_at_.end()) {
        arrival_delays.push_back(clock_.Now() - added->second);
        added_at_.erase(added);
      }
    }
  }
  void OnWatchFailed() override {}
  void SendRequest() {
    if (!in_service_.empty()) {
      auto it = in_service_.begin();
      std::advance(it, random_(static_cast<std::uint32_t>(in_service_.size())));
      ++requests;
      requests_to_removed += removed_.count(it->second) > 0;
    }
    loop_.At(clock_.Now() + kSendInterval, [this] { SendRequest(); });
  }

  const std::uint32_t ttl_;
  pcg32 random_;
  SimulatedClock clock_;
  net::EventLoop loop_;
  FakeNameServer server_;
  Config config_;
  OperatorSettings settings_;
  std::vector<int> serving_;  // machine numbers
  int next_machine_ = 0;
  // By address: when each change was made that the source has not reported yet.
  std::map<std::string, double> drained_at_, added_at_;
  std::map<std::string, bool> removed_;            // by address
  std::map<std::string, std::string> in_service_;  // reported by the source: addresses by endpoint id
  std::unique_ptr<MergedEndpointSource> source_;
};

double WallSeconds() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

class NullListener : public EndpointSource::Listener {
  void OnEndpointList(const EndpointListUpdate&) override {}
  void OnWatchFailed() override {}
};

// Prints the query rate, memory and start-up time of a source with many SRV names.
void MeasureManyNames(int names, std::uint32_t ttl) {
  SimulatedClock clock;
  net::EventLoop loop(clock);
  FakeNameServer server(loop);
  Config config;
  OperatorSettings settings;
  NullListener listener;
  settings.dns.servers = {server.address()};
  FakeNameServer::Entry host;
  host.answers = {
      {ParseName("host.example"), dns::Type::kA, dns::kInternet, 3600, in_addr{htonl(INADDR_LOOPBACK)}}};
  server.Set({ParseName("host.example"), dns::Type::kA}, host);
  for (int i = 0; i < names; ++i) {
    const std::string name = "_api._tcp.p" + std::to_string(i) + ".example";
    FakeNameServer::Entry entry;
    for (const std::uint16_t port : {80, 81})
      entry.answers.push_back({ParseName(name), dns::Type::kSrv, dns::kInternet, ttl,
                               dns::Srv{1, 1, port, ParseName("host.example")}});
    server.Set({ParseName(name), dns::Type::kSrv}, entry);
    settings.srv_names.emplace_back(name, i);
  }
  const std::size_t bytes_before = mallinfo2().uordblks;
  MergedEndpointSource source(loop, config, settings, listener);
  const double began = clock.Now();
  while (source.pending_names() > 0) RunEventLoopUntil(loop, clock, clock.Now() + 0.01);
  const std::size_t bytes_after = mallinfo2().uordblks;
  const double took = clock.Now() - began;
  long max_per_second = 0, total = 0;
  const double steady_since = clock.Now();
  while (clock.Now() < steady_since + 2 * ttl) {
    const long queries_before = server.datagrams();
    RunEventLoopUntil(loop, clock, clock.Now() + 1);
    max_per_second = std::max(max_per_second, server.datagrams() - queries_before);
    total += server.datagrams() - queries_before;
  }
  std::printf(
      "%d names of %u s: %.0f queries a second in the mean, %ld at most; %.0f bytes a name; all known after "
      "%.2f s\n",
      names, ttl, static_cast<double>(total) / (clock.Now() - steady_since), max_per_second,
      static_cast<double>(bytes_after - bytes_before) / names, took);
}

// Prints how long it takes to decode and merge an SRV answer of nearly the maximum size.
void MeasureLargeAnswer() {
  dns::Message message;
  message.response = true;
  message.questions = {{ParseName("_api._tcp.example"), dns::Type::kSrv}};
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
      message.answers.push_back({ParseName("_api._tcp.example"), dns::Type::kSrv, dns::kInternet, 60,
                                 dns::Srv{1, 1, static_cast<std::uint16_t>(port), ParseName(host)}});
      targets.push_back({host, address, 1, 1});
      list.endpoints.push_back(
          {host + std::to_string(port), "", "", address, kDestination, Status::kInService, 1});
    }
  }
  merge.OnList(0, list);
  const std::string bytes = dns::Encode(message);
  std::vector<double> decode_ms, merge_ms;
  for (int i = 0; i < 51; ++i) {
    const double began = WallSeconds();
    const auto decoded = dns::Decode(bytes);
    const auto answer = dns::ReadAnswer(std::get<dns::Message>(decoded), 0, message.questions[0]);
    const double decoded_at = WallSeconds();
    merge.OnTargets(i, kDestination, targets, true);
    merge_ms.push_back((WallSeconds() - decoded_at) * 1e3);
    // An answer that was not decoded must show in the result.
    decode_ms.push_back((decoded_at - began) * 1e3 + (std::holds_alternative<dns::Answer>(answer) ? 0 : 1e9));
  }
  std::printf("an answer of %zu bytes with %zu targets: read in %.2f ms, joined in %.2f ms (medians of 51)\n",
              bytes.size(), targets.size(), Median(decode_ms), Median(merge_ms));
}

}  // namespace

int RunSrvExperiment(int changes) {
  std::printf(
      "%d machines replaced one after the other, the list late by %.0f to %.0f s, gone %.0f s after the "
      "drain\n\n"
      "| source | a drain is heard after: median s | worst s | a new one after: median s | worst s | of the "
      "messages "
      "to machines gone |\n|---|---|---|---|---|---|\n",
      changes, kListDelay.min, kListDelay.max, kDrainDuration);
  bool holds = true;
  double worst_list_alone = 0;
  for (const std::uint32_t ttl : {0U, 1U, 2U, 5U, 10U, 30U}) {
    ReplacementSimulation simulation(ttl, 1);
    simulation.Run(changes);
    const auto worst = [](const std::vector<double>& v) {
      return v.empty() ? 0 : *std::max_element(v.begin(), v.end());
    };
    const std::string name = ttl == 0 ? "list alone" : "list and SRV of " + std::to_string(ttl) + " s";
    std::printf("| %s | %.2f | %.2f | %.2f | %.2f | %.4f%% |\n", name.c_str(),
                Median(simulation.drain_delays), worst(simulation.drain_delays),
                Median(simulation.arrival_delays), worst(simulation.arrival_delays),
                100.0 * static_cast<double>(simulation.requests_to_removed) /
                    static_cast<double>(simulation.requests));
    if (ttl == 0) worst_list_alone = worst(simulation.drain_delays);
    // SRV records must not delay the notice of a drain.
    holds = holds && worst(simulation.drain_delays) <= worst_list_alone + 0.1 &&
            simulation.drain_delays.size() == static_cast<std::size_t>(changes);
  }
  std::printf("\n");
  MeasureManyNames(5000, 60);
  MeasureManyNames(5000, 10);
  MeasureLargeAnswer();
  std::printf("\n%s\n", holds ? "claim holds" : "claim fails");
  return holds ? 0 : 1;
}

}  // namespace opalroute::lab
