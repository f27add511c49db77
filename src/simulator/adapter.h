// The simulator's protocol: a line is a JSON object with a batch of events for many instances, and is
// answered by a line with a JSON object that holds their actions.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "simulator/instance.h"

namespace opalroute::simulator {

// All instances of one process.
class Adapter {
 public:
  // Handles a batch and returns the reply, both without the line end. Throws InputError if the batch cannot
  // be read.
  std::string Reply(const std::string& line);

 private:
  // Returns the name of the instance that handled the event, or an empty string if none did.
  std::string HandleEvent(Seconds now, const nlohmann::json& event);
  Instance& Find(const std::string& name);

  std::map<std::string, Instance> instances_;
  std::map<int, nlohmann::json> lists_;  // declared endpoint lists, by number
};

}  // namespace opalroute::simulator
