// Reads the operators' own settings: flags, OPALROUTE_ variables and their file, in this order of precedence.
//
// Every setting stands once in the table of operator_options.cpp; from its key `a.b_c` come the flag
// `--a-b-c`, the variable `OPALROUTE_A_B_C` and its place in the file, {"a":{"b_c": ...}}. Whatever is not
// set is off.
#pragma once

#include <CLI/CLI.hpp>
#include <memory>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/operator.h"

namespace opalroute::config {

// Puts the settings' flags on a command line. After the line was parsed, Finish gives the settings.
class OperatorOptions {
 public:
  OperatorOptions(CLI::App& app, const Environment& environment);
  ~OperatorOptions();

  // Appends one line a fault, each with the full name of its flag, variable or key.
  Operator Finish(std::vector<std::string>& faults) const;

 private:
  class File;
  struct Given;
  std::vector<std::unique_ptr<Given>> given_;
  std::shared_ptr<File> file_;
};

}  // namespace opalroute::config
