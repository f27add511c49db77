// Draws plots as SVG with gnuplot.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace opalroute::lab {

struct Series {
  std::string title;
  std::vector<std::pair<double, double>> points;
  std::string style;  // for gnuplot's `with`, like "lines lw 2 lc rgb '#0b6'"
  bool second_axis = false;
};

struct Plot {
  std::string x_label, y_label, y2_label;  // empty y2_label: no second axis
  std::string extra_commands;              // further gnuplot commands, one per line
  std::vector<Series> series;
};

// Returns an <svg> element that scales with its container. `name` (letters and digits) makes the element ids
// unique among several plots on one page. Throws std::runtime_error if gnuplot is not installed or draws
// nothing.
std::string DrawSvg(const Plot& plot, const std::string& name);

}  // namespace opalroute::lab
