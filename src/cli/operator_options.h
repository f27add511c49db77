// Reads the operators' settings from flags, OPALROUTE_ variables and the operators' file, in this order of
// precedence.
//
// A table in operator_options.cpp lists each setting once. From a setting's key `a.b_c` follow the flag
// `--a-b-c`, the variable `OPALROUTE_A_B_C` and the place in the file, {"a":{"b_c": ...}}. Settings that are
// not given keep their defaults, with which every optional feature is off.
#pragma once

#include <CLI/CLI.hpp>
#include <memory>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/operator_settings.h"

namespace opalroute::config {

// Adds the settings' flags to a command line. Finish returns the settings after `app` has parsed the line.
class OperatorOptions {
 public:
  // Throws CLI::FileError if the variable OPALROUTE_OPERATOR_FILE names a file that does not exist.
  OperatorOptions(CLI::App& app, const Environment& environment);
  ~OperatorOptions();

  // Appends one line to `errors` for each invalid setting, with its key.
  OperatorSettings Finish(std::vector<std::string>& errors) const;

 private:
  class File;
  struct Value;
  std::vector<std::unique_ptr<Value>> values_;
  std::shared_ptr<File> file_;
};

}  // namespace opalroute::config
