// Runs a fuzz target without a fuzzer: on each file of the corpus and on mutations of it that are generated
// from a fixed seed, so that the result is reproducible. Usage: PROGRAM FOLDER MUTATIONS
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <pcg_random.hpp>
#include <set>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace {

void RunTarget(const std::string& bytes) {
  // A separate allocation of the exact size lets a sanitizer detect a read past the end.
  const std::unique_ptr<std::uint8_t[]> copy(new std::uint8_t[bytes.size()]);
  std::copy(bytes.begin(), bytes.end(), copy.get());
  LLVMFuzzerTestOneInput(copy.get(), bytes.size());
}

std::string Mutate(std::string bytes, pcg32& random) {
  for (std::uint32_t i = 0, count = 1 + random(6); i < count && !bytes.empty(); ++i) {
    const std::size_t at = random(static_cast<std::uint32_t>(bytes.size()));
    switch (random(4)) {
      case 0:
        bytes[at] = static_cast<char>(random(256));
        break;
      case 1:
        bytes[at] = static_cast<char>(bytes[at] ^ 1 << random(8));
        break;
      case 2:
        bytes.resize(at);
        break;
      default:
        bytes.insert(at, bytes.substr(at, random(16)));
    }
  }
  return bytes;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  std::set<std::string> files;
  for (const auto& entry : std::filesystem::directory_iterator(argv[1])) files.insert(entry.path().string());
  if (files.empty()) return 2;
  pcg32 random(17);
  long mutations = 0;
  for (const std::string& name : files) {
    std::ifstream file(name, std::ios::binary);
    const std::string bytes((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    RunTarget(bytes);
    for (int i = 0; i < std::atoi(argv[2]); ++i, ++mutations) RunTarget(Mutate(bytes, random));
  }
  std::printf("%zu files, %ld mutations\n", files.size(), mutations);
  return 0;
}
