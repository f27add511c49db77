// Stands between the endpoint list's source and its listener, and merges DNS SRV into the list. The listener
// sees one source.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/operator.h"
#include "discovery/endpoint_merge.h"
#include "discovery/endpoint_source.h"
#include "discovery/srv_source.h"
#include "dns/resolver.h"

namespace opalroute {

class MergedEndpointSource : public EndpointSource::Listener, private SrvSource::Listener {
 public:
  // Reports the merged set to `listener`, but never before this constructor returns. `loop` and `listener`
  // must outlive this object. Throws std::invalid_argument if the settings name something that is no domain
  // name.
  MergedEndpointSource(net::EventLoop& loop, const Config& config, const Operator& settings,
                       EndpointSource::Listener& listener);

  // Applies the list that an earlier process or the configuration has left. Returns the merged set, and does
  // not report it to the listener.
  EndpointListUpdate ApplyCached(const EndpointListUpdate& list);

  void OnEndpointList(const EndpointListUpdate& update) override;
  void OnListConfirmed() override { listener_.OnListConfirmed(); }
  void OnWatchFailed() override;

  // SRV names whose first answer, or failure, has not arrived yet.
  std::size_t unanswered() const { return source_.unanswered(); }
  // The merged set with the reason of each verdict, as operators are shown it.
  nlohmann::ordered_json Print() const;

 private:
  void OnTargets(long long destination, const std::vector<SrvTarget>& targets, bool complete) override;
  void OnNotOffered(long long destination) override;
  void OnNoAnswer(long long destination, const char* reason, bool expired) override;
  void PublishFromSrv(EndpointListUpdate update);
  nlohmann::ordered_json PrintEndpoints() const;
  nlohmann::ordered_json PrintUnanswered() const;

  net::EventLoop& loop_;
  const Limits limits_;
  EndpointSource::Listener& listener_;
  EndpointMerge merge_;
  dns::Resolver resolver_;
  SrvSource source_;
  std::map<long long, std::string> unanswered_;  // why, by destination
};

}  // namespace opalroute
