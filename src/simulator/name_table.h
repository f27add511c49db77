// Numbers for names that come as text.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace opalroute::simulator {

class NameTable {
 public:
  // The number of the name, for good. Numbers count from 0.
  std::uint32_t Intern(const std::string& name);
  // `number` was given by Intern.
  const std::string& NameOf(std::uint32_t number) const { return names_[number]; }

 private:
  std::unordered_map<std::string, std::uint32_t> numbers_;
  std::vector<std::string> names_;
};

}  // namespace opalroute::simulator
