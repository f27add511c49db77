// Writes one self-contained HTML page about one run, or about several runs side by side.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace opalroute::lab {

struct ReportRun {
  std::string label;      // identifies the run on the page
  nlohmann::json result;  // the result.json that `run --out` wrote
};

// Reads result.json in the folder. Throws config::FieldError that names what is missing.
ReportRun ReadRun(const std::string& folder);

// Returns the HTML. Throws std::runtime_error if a plot can't be drawn.
std::string WriteReport(const std::vector<ReportRun>& runs);

}  // namespace opalroute::lab
