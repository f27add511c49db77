// Maps names to numbers and back.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace opalroute::simulator {

class NameTable {
 public:
  // Returns the number of the name, which never changes. Numbers are assigned from 0 on.
  std::uint32_t Intern(const std::string& name);
  // `number` must have been returned by Intern.
  const std::string& NameOf(std::uint32_t number) const { return names_[number]; }

 private:
  std::unordered_map<std::string, std::uint32_t> numbers_;
  std::vector<std::string> names_;
};

}  // namespace opalroute::simulator
