// The adapter's main loop: one batch a line from standard input, one reply a line to standard output.
#include <exception>
#include <iostream>
#include <string>

#include "simulator/adapter.h"

int main() {
  std::ios::sync_with_stdio(false);
  opalroute::simulator::Host host;
  std::string line;
  try {
    for (long number = 1; std::getline(std::cin, line); ++number) {
      if (line.empty()) continue;
      try {
        std::cout << host.Reply(line) << '\n' << std::flush;
      } catch (const std::exception& error) {
        std::cerr << "opalroute_drill: line " << number << ": " << error.what() << '\n';
        return 1;
      }
    }
  } catch (const std::exception& error) {
    std::cerr << "opalroute_drill: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
