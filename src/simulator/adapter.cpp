#include "simulator/adapter.h"

#include <set>
#include <utility>

#include "config/fields.h"

namespace opalroute::simulator {

using config::Get;
using config::GetOr;
using config::Require;
using nlohmann::json;

namespace {

json ParseBatch(const std::string& line) {
  try {
    return json::parse(line);
  } catch (const json::parse_error& error) {
    throw InputError("invalid JSON at byte " + std::to_string(error.byte));
  }
}

}  // namespace

std::string Adapter::Reply(const std::string& line) {
  const json batch = ParseBatch(line);
  const auto now = Get<double>(batch, "tsS");
  const json& events = Require(batch, "in");
  if (!events.is_array()) throw InputError("field 'in' is not an array");
  std::vector<std::string> affected;  // instances, in the order of their first events
  std::set<std::string> seen;
  for (std::size_t i = 0; i < events.size(); ++i) {
    try {
      const std::string name = HandleEvent(now, events[i]);
      if (!name.empty() && seen.insert(name).second) affected.push_back(name);
    } catch (const InputError& error) {
      throw InputError("event " + std::to_string(i) + ": " + error.what());
    }
  }
  json decisions = json::array();
  for (const std::string& name : affected) {
    const auto instance = instances_.find(name);
    if (instance == instances_.end()) continue;
    instance->second.EndBatch(now);
    instance->second.AppendActions(decisions);
  }
  return json{{"decisions", std::move(decisions)}}.dump();
}

std::string Adapter::HandleEvent(Seconds now, const json& event) {
  const auto type = Get<std::string>(event, "type");
  if (type == "MANIFEST") {
    lists_[Get<int>(event, "sheet")] = Require(event, "records");
    return {};
  }
  auto name = Get<std::string>(event, "who");
  if (type == "ATTACH") {
    instances_.insert_or_assign(name, Instance(name, event));
  } else if (type == "CRASH_NOW") {
    if (instances_.erase(name) == 0) throw InputError("unknown instance '" + name + "'");
    return {};
  } else {
    Instance& instance = Find(name);
    const bool refers_to_list = type == "MEMBERS";
    const auto list = refers_to_list ? lists_.find(GetOr(event, "sheet", 0)) : lists_.end();
    instance.HandleEvent(now, event, list == lists_.end() ? nullptr : &list->second);
  }
  return name;
}

Instance& Adapter::Find(const std::string& name) {
  const auto it = instances_.find(name);
  if (it == instances_.end()) throw InputError("unknown instance '" + name + "'");
  return it->second;
}

}  // namespace opalroute::simulator
