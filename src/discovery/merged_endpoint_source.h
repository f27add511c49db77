// The pool of several sources: stands between the partner list's source and who wants the list, and joins in
// what SRV says (pool/merge). With it the relay knows of no second source.
#pragma once

#include <memory>
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
  // `listener` hears the joined set; never before this constructor returns.
  MergedEndpointSource(net::EventLoop& loop, const Config& config, const Operator& settings,
                       EndpointSource::Listener& listener);

  // The list as it was last held: taken in without a word to the listener. Returns what it comes to.
  EndpointListUpdate ApplyCached(const EndpointListUpdate& list);

  void OnEndpointList(const EndpointListUpdate& news) override;
  void OnListConfirmed() override { listener_.OnListConfirmed(); }
  void OnWatchFailed() override;

  std::size_t unanswered() const { return source_.unanswered(); }  // names that have not been answered yet
  nlohmann::ordered_json Print() const;  // the joined set, with the reason of each verdict

 private:
  void OnTargets(long long destination, const std::vector<SrvTarget>& targets, bool complete) override;
  void OnNotOffered(long long destination) override;
  void OnNoAnswer(long long destination, const char* why, bool expired) override;
  void Forward(EndpointListUpdate news);

  net::EventLoop& loop_;
  const Limits limits_;
  EndpointSource::Listener& listener_;
  EndpointMerge merge_;
  dns::Resolver resolver_;
  SrvSource source_;
  std::map<long long, std::string> silent_;  // destinations whose name is not answered, and why
};

}  // namespace opalroute
