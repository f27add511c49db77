// Merges DNS SRV records into the endpoint list. Sits between the source of the list and its listener, which
// sees a single source.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/operator_settings.h"
#include "discovery/endpoint_merge.h"
#include "discovery/endpoint_source.h"
#include "discovery/srv_source.h"
#include "dns/resolver.h"

namespace opalroute {

class MergedEndpointSource : public EndpointSource::Listener, private SrvSource::Listener {
 public:
  // Starts the SRV queries. Reports the merged set to `listener`, but never before this constructor returns.
  // `loop` and `listener` must outlive this object. Throws std::invalid_argument if an SRV name in the
  // settings is not a valid domain name.
  MergedEndpointSource(net::EventLoop& loop, const Config& config, const OperatorSettings& settings,
                       EndpointSource::Listener& listener);

  // Applies a cached list, saved by an earlier process or given in the configuration. Returns the merged set
  // without reporting it to the listener.
  EndpointListUpdate ApplyCached(const EndpointListUpdate& list);

  void OnEndpointList(const EndpointListUpdate& update) override;
  void OnListConfirmed() override { listener_.OnListConfirmed(); }
  void OnWatchFailed() override;

  // The number of SRV names whose first answer or failure has not arrived yet.
  std::size_t pending_names() const { return source_.pending_names(); }
  // The merged set with the reason for each endpoint's status, the SRV failures and the DNS counters, for the
  // /pool page.
  nlohmann::ordered_json ToJson() const;

 private:
  void OnTargets(long long destination, const std::vector<SrvTarget>& targets, bool complete) override;
  void OnNotOffered(long long destination) override;
  void OnNoAnswer(long long destination, const char* reason, bool expired) override;
  void LogContradiction(long long destination, long targets);
  void PublishFromSrv(EndpointListUpdate update);
  nlohmann::ordered_json EndpointsToJson() const;
  nlohmann::ordered_json FailuresToJson() const;

  net::EventLoop& loop_;
  const Limits limits_;
  EndpointSource::Listener& listener_;
  EndpointMerge merge_;
  dns::Resolver resolver_;
  SrvSource source_;
  std::set<long long> contradicted_;           // destinations of whose targets the list has some for others
  std::map<long long, std::string> failures_;  // by destination, until an answer names targets
};

}  // namespace opalroute
