// The pool of several sources: stands between the partner list's source and who wants the list, and joins in
// what SRV says (pool/merge). With it the relay knows of no second source.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/operator.h"
#include "dns/resolver.h"
#include "pool/merge.h"
#include "pool/pool_source.h"
#include "pool/srv_source.h"

namespace opalroute {

class JoinedPool : public PoolSource::Listener, private SrvSource::Listener {
 public:
  // `listener` hears the joined set; never before this constructor returns.
  JoinedPool(net::EventLoop& loop, const Config& config, const Operator& settings,
             PoolSource::Listener& listener);

  // The list as it was last held: taken in without a word to the listener. Returns what it comes to.
  PoolNews Remembered(const PoolNews& list);

  void OnPoolNews(const PoolNews& news) override;
  void OnPoolConfirmed() override { listener_.OnPoolConfirmed(); }
  void OnPoolFailed() override;

  std::size_t unheard() const { return source_.unheard(); }  // names that have not been answered yet
  nlohmann::ordered_json Print() const;  // the joined set, with the reason of each verdict

 private:
  void OnTargets(long long destination, const std::vector<SrvTarget>& targets, bool complete) override;
  void OnNotOffered(long long destination) override;
  void OnSilence(long long destination, const char* why, bool expired) override;
  void Pass(PoolNews news);

  net::EventLoop& loop_;
  const Limits limits_;
  PoolSource::Listener& listener_;
  PoolMerge merge_;
  dns::Resolver resolver_;
  SrvSource source_;
  std::map<long long, std::string> silent_;  // destinations whose name is not answered, and why
};

}  // namespace opalroute
