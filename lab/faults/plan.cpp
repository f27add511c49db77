#include "lab/faults/plan.h"

#include <limits>
#include <sstream>
#include <stdexcept>

namespace opalroute::lab::faults {

std::string Plan::Write() const {
  std::ostringstream text;
  text.precision(std::numeric_limits<double>::max_digits10);
  text << seed << ' ' << folder << '\n';
  for (const Episode& e : episodes)
    text << "fails " << static_cast<int>(e.call) << ' ' << e.error << ' ' << e.from << ' ' << e.to << ' '
         << e.chance << ' ' << e.bytes << '\n';
  for (const ClockStep& step : steps) text << "clock " << step.at << ' ' << step.by << '\n';
  if (!requests_read.empty()) text << "records " << requests_read << '\n';
  return text.str();
}

Plan Plan::Read(const std::string& text) {
  const auto wrong = [&text] { return std::invalid_argument("no plan of faults: " + text); };
  std::istringstream in(text);
  Plan plan;
  if (!(in >> plan.seed >> plan.folder)) throw wrong();
  for (std::string what; in >> what;) {
    if (what == "fails") {
      Episode e;
      int call = 0;
      in >> call >> e.error >> e.from >> e.to >> e.chance >> e.bytes;
      if (!in || call < 0 || call >= kCalls) throw wrong();
      e.call = static_cast<Call>(call);
      plan.episodes.push_back(e);
    } else if (what == "clock") {
      ClockStep step;
      in >> step.at >> step.by;
      if (!in) throw wrong();
      plan.steps.push_back(step);
    } else if (what == "records") {
      if (!(in >> plan.requests_read)) throw wrong();
    } else {
      throw wrong();
    }
  }
  return plan;
}

}  // namespace opalroute::lab::faults
