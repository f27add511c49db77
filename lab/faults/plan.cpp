#include "lab/faults/plan.h"

#include <limits>
#include <sstream>
#include <stdexcept>

namespace opalroute::lab::faults {

std::string Plan::Serialize() const {
  std::ostringstream text;
  text.precision(std::numeric_limits<double>::max_digits10);
  text << seed << ' ' << state_folder << '\n';
  for (const Episode& e : episodes)
    text << "fails " << static_cast<int>(e.call) << ' ' << e.error << ' ' << e.from << ' ' << e.to << ' '
         << e.probability << ' ' << e.max_bytes << '\n';
  for (const ClockStep& step : clock_steps) text << "clock " << step.at << ' ' << step.shift << '\n';
  if (!requests_read.empty()) text << "records " << requests_read << '\n';
  return text.str();
}

Plan Plan::Parse(const std::string& text) {
  const auto invalid = [&text] { return std::invalid_argument("invalid fault plan: " + text); };
  std::istringstream in(text);
  Plan plan;
  if (!(in >> plan.seed >> plan.state_folder)) throw invalid();
  for (std::string keyword; in >> keyword;) {
    if (keyword == "fails") {
      Episode e;
      int call = 0;
      in >> call >> e.error >> e.from >> e.to >> e.probability >> e.max_bytes;
      if (!in || call < 0 || call >= kSystemCallCount) throw invalid();
      e.call = static_cast<SystemCall>(call);
      plan.episodes.push_back(e);
    } else if (keyword == "clock") {
      ClockStep step;
      in >> step.at >> step.shift;
      if (!in) throw invalid();
      plan.clock_steps.push_back(step);
    } else if (keyword == "records") {
      if (!(in >> plan.requests_read)) throw invalid();
    } else {
      throw invalid();
    }
  }
  return plan;
}

}  // namespace opalroute::lab::faults
