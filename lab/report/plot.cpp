#include "lab/report/plot.h"

#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace opalroute::lab {

namespace {

class TemporaryFile {
 public:
  TemporaryFile() {
    path_ = (std::filesystem::temp_directory_path() / "opalroute-plot-XXXXXX").string();
    const int fd = mkstemp(path_.data());
    if (fd < 0)
      throw std::runtime_error("can't create a temporary file: " + std::string(std::strerror(errno)));
    close(fd);
  }
  ~TemporaryFile() { unlink(path_.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Returns the text as a double-quoted gnuplot string; newlines become spaces.
std::string Quoted(const std::string& text) {
  std::string quoted = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') quoted += '\\';
    quoted += c == '\n' ? ' ' : c;
  }
  return quoted + '"';
}

std::string GnuplotScript(const Plot& plot, const std::string& name, const std::string& output) {
  std::ostringstream s;
  s << "set terminal svg size 520,300 dynamic font 'sans-serif,14' name '" << name << "'\n"
    << "set output " << Quoted(output) << "\nset encoding utf8\n"
    << "set border 3 lc rgb '#777777'\nset tics nomirror\nset grid ytics lc rgb '#dddddd'\n"
    << "set key outside bottom center horizontal\nset xrange [0:*]\nset yrange [0:*]\n"
    << "set xlabel " << Quoted(plot.x_label) << "\nset ylabel " << Quoted(plot.y_label) << '\n';
  if (!plot.y2_label.empty())
    s << "set border 11\nset y2tics nomirror\nset y2range [0:*]\nset y2label " << Quoted(plot.y2_label)
      << '\n';
  s << plot.extra_commands;
  for (std::size_t i = 0; i < plot.series.size(); ++i) {
    s << "$data" << i << " << EOD\n";
    for (const auto& [x, y] : plot.series[i].points) s << x << ' ' << y << '\n';
    s << "EOD\n";
  }
  s << "plot ";
  for (std::size_t i = 0; i < plot.series.size(); ++i)
    s << (i > 0 ? ", " : "") << "$data" << i << " using 1:2 "
      << (plot.series[i].second_axis ? "axes x1y2 " : "") << "with " << plot.series[i].style << " title "
      << Quoted(plot.series[i].title);
  s << '\n';
  return s.str();
}

}  // namespace

std::string DrawSvg(const Plot& plot, const std::string& name) {
  const TemporaryFile output, script;
  std::ofstream(script.path()) << GnuplotScript(plot, name, output.path());
  const std::string command = "gnuplot '" + script.path() + "' 2>&1";
  FILE* const pipe = popen(command.c_str(), "r");
  if (pipe == nullptr) throw std::runtime_error("gnuplot can't be started");
  std::string output_text;
  char buffer[512];
  while (fgets(buffer, sizeof(buffer), pipe) != nullptr) output_text += buffer;
  const int status = pclose(pipe);
  std::ifstream file(output.path());
  std::string svg((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  const std::size_t begin = svg.find("<svg");
  if (status != 0 || begin == std::string::npos)
    throw std::runtime_error("gnuplot produced no SVG (is it installed?): " + output_text.substr(0, 500));
  return svg.substr(begin);
}

}  // namespace opalroute::lab
