#include "simulator/name_table.h"

namespace opalroute::simulator {

std::uint32_t NameTable::Intern(const std::string& name) {
  const auto [it, is_new] = numbers_.emplace(name, static_cast<std::uint32_t>(names_.size()));
  if (is_new) names_.push_back(name);
  return it->second;
}

}  // namespace opalroute::simulator
