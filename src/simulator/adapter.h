// The simulator's lines: a batch of events of many instances goes in, their actions come out, both as one
// JSON object a line.
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
  // Handles a batch and returns the reply, both without the line end. Throws WireError if the batch can't be
  // read.
  std::string Reply(const std::string& line);

 private:
  // Returns the name of the instance that the event has reached; empty: none.
  std::string HandleEvent(Seconds now, const nlohmann::json& event);
  Instance& Find(const std::string& name);

  std::map<std::string, Instance> instances_;
  std::map<int, nlohmann::json> lists_;  // declared endpoint lists, by their numbers
};

}  // namespace opalroute::simulator
