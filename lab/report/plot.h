// Plots as SVG, drawn by gnuplot.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace opalroute::lab {

struct Series {
  std::string title;
  std::vector<std::pair<double, double>> points;
  std::string style;  // gnuplot's, as "lines lw 2 lc rgb '#0b6'"
  bool second_axis = false;
};

struct Plot {
  std::string x_label, y_label, y2_label;  // y2: none where empty
  std::string more;                        // further gnuplot settings, one a line
  std::vector<Series> series;
};

// Returns an <svg> element that scales with its container. `name` keeps the ids of several in one page apart:
// letters and digits. Throws std::runtime_error if gnuplot is not there or draws nothing.
std::string DrawSvg(const Plot& plot, const std::string& name);

}  // namespace opalroute::lab
