// One relay of the simulator: translates the simulator's events into those of the decision library, and its
// actions back. Apart from the settings (config/settings.h), only instance.cpp and adapter.cpp know the
// names in the simulator's JSON.
#pragma once

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/fields.h"
#include "opalroute/request_router.h"
#include "simulator/name_table.h"

namespace opalroute::simulator {

// Reports invalid input. The message is one line that describes the error and where it is.
using InputError = config::FieldError;

// An action refers to a request that the instance does not know, or has forgotten.
class UnknownRequestError : public std::runtime_error {
 public:
  explicit UnknownRequestError(RequestId id)
      : std::runtime_error("an action names the unknown request " + std::to_string(id)) {}
};

// A RequestRouter, and the names of its requests and endpoints. Shares no state with other instances.
class Instance {
 public:
  // `attach`: the event that starts the instance. Throws InputError, as all functions that read JSON do.
  Instance(std::string name, const nlohmann::json& attach);

  // `list`: the endpoint list that the event refers to; null if it was not declared.
  void HandleEvent(Seconds now, const nlohmann::json& event, const nlohmann::json* list);
  void EndBatch(Seconds now);
  // Appends the actions since the last call to a JSON array. An action for an unknown request is replaced by
  // a trace line.
  void AppendActions(nlohmann::json& decisions);

 private:
  // A request whose name is still needed.
  struct KnownRequest {
    std::string name;
    int attempts_in_flight = 0;
    bool ended = false;
  };

  void OnEndpointList(Seconds now, const nlohmann::json& event, const nlohmann::json* list);
  void OnNewRequest(Seconds now, const nlohmann::json& event);
  void OnAttemptOutcome(Seconds now, const nlohmann::json& event);
  void OnHealthCheckOutcome(Seconds now, const nlohmann::json& event);
  void OnGossip(Seconds now, const nlohmann::json& event);
  void OnAborted(Seconds now, const nlohmann::json& event);
  void OnResponseStarted(Seconds now, const nlohmann::json& event);

  ListedEndpoint ParseListedEndpoint(const nlohmann::json& row);
  int IndexOf(const std::vector<std::string>& names, const nlohmann::json& event, const char* field) const;

  nlohmann::json ToJson(const Send& send);
  nlohmann::json ToJson(const Reject& reject);
  nlohmann::json ToJson(const Fail& fail);
  nlohmann::json ToJson(const CancelAttempt& cancel);
  nlohmann::json ToJson(const HealthCheck& check);
  nlohmann::json ToJson(const SetTimer& timer);
  nlohmann::json ToJson(const WatchEndpointList& watch);
  nlohmann::json ToJson(const CloseIdleConnections& close);
  nlohmann::json ToJson(const SendGossip& gossip);
  nlohmann::json ToJson(const RouteHealthChanged&);
  nlohmann::json ToJson(const Log& line);

  nlohmann::json ToJsonOrTrace(const Action& action);
  // Throws UnknownRequestError.
  KnownRequest& FindRequest(RequestId id);
  bool IsReferredToByAction(RequestId id) const;
  void ForgetIfDone(RequestId id);

  std::string name_;
  std::vector<std::string> classes_;
  std::vector<std::string> tenants_;
  std::vector<std::string> zones_;
  std::vector<std::string> kinds_;
  NameTable endpoints_;
  std::unordered_map<std::string, RequestId> request_ids_;
  std::map<RequestId, KnownRequest> requests_;
  RequestId next_request_id_ = 1;
  std::unique_ptr<RequestRouter> router_;
  std::vector<Action> actions_;
};

}  // namespace opalroute::simulator
