// One self-contained page on one run or several, side by side.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace opalroute::lab {

struct ReportRun {
  std::string label;      // what readers know it by
  nlohmann::json result;  // as `run --out` has written it
};

// Reads DIR/result.json. Throws config::FieldError that names what is lacking.
ReportRun ReadRun(const std::string& folder);

// Throws std::runtime_error if a plot can't be drawn.
std::string WriteReport(const std::vector<ReportRun>& runs);

}  // namespace opalroute::lab
