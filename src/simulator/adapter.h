// The simulator's wire: JSON lines in, JSON lines out. Translates and hosts; decides nothing.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/fields.h"
#include "opalroute/request_router.h"

namespace opalroute::simulator {

using WireError = config::FieldError;  // says in one line what is wrong with the input, and where

// Gives each word a small number, for good.
class Names {
 public:
  std::uint32_t Intern(const std::string& word);
  const std::string* Find(std::uint32_t number) const;

 private:
  std::unordered_map<std::string, std::uint32_t> numbers_;
  std::vector<std::string> words_;
};

// One courier with the names that it has been told; shares nothing with other instances.
class Instance {
 public:
  Instance(std::string who, const nlohmann::json& attach);

  void Take(Seconds now, const nlohmann::json& event, const nlohmann::json* sheet);
  void EndTurn(Seconds now);
  void WriteActions(nlohmann::json& decisions);

 private:
  struct Known {  // a message whose name is still needed
    std::string name;
    int unanswered = 0;  // attempts without an outcome
    bool over = false;
  };

  void TakeMembers(Seconds now, const nlohmann::json& event, const nlohmann::json* sheet);
  void TakeMessage(Seconds now, const nlohmann::json& event);
  void TakeOutcome(Seconds now, const nlohmann::json& event);
  void ForgetIfDone(RequestId id);
  int IndexOf(const std::vector<std::string>& names, const nlohmann::json& event, const char* field);
  nlohmann::json Translate(const Action& action);

  std::string who_;
  std::vector<std::string> classes_, tenants_, zones_, kinds_;
  Names endpoints_;
  std::unordered_map<std::string, RequestId> ids_;
  std::map<RequestId, Known> messages_;
  RequestId next_id_ = 1;
  std::unique_ptr<RequestRouter> courier_;
  std::vector<Action> actions_;
};

// All instances of one process.
class Host {
 public:
  // Takes a batch and returns the reply, both without the line end.
  std::string Reply(const std::string& line);

 private:
  std::map<std::string, Instance> instances_;
  std::map<int, nlohmann::json> sheets_;
};

}  // namespace opalroute::simulator
