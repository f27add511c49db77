// Runs the adapter: reads a batch per line from standard input and writes a reply per line to standard
// output.
#include <exception>
#include <iostream>
#include <string>

#include "simulator/adapter.h"

int main() {
  std::ios::sync_with_stdio(false);
  opalroute::simulator::Adapter adapter;
  std::string line;
  try {
    for (long number = 1; std::getline(std::cin, line); ++number) {
      if (line.empty()) continue;
      try {
        std::cout << adapter.Reply(line) << '\n' << std::flush;
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
