#include "learning/state_file.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <utility>

#include "journal/durable_file.h"
#include "learning/stream.h"

namespace opalroute::learning {

StateFile::StateFile(std::string folder, std::size_t most_bytes)
    : folder_(std::move(folder)), most_(std::max<std::size_t>(most_bytes / 2, 2048)) {}

StateFile::Saved StateFile::Load() const {
  Saved saved;
  std::ifstream stream(path(), std::ios::binary);
  if (!stream) return saved;
  std::string bytes(most_ + 1, '\0');
  stream.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  bytes.resize(static_cast<std::size_t>(stream.gcount()));
  MessageReader reader;
  reader.Take(bytes);
  saved.end = "cut";
  bool has_begun = false;
  while (const auto message = reader.Next()) {
    if (const auto* begin = std::get_if<Begin>(&*message)) {
      has_begun = true;
      saved.name = begin->name;
      saved.written_at = begin->written_at;
      if (begin->version != kVersion) {
        saved.end = begin->version > kVersion ? "newer" : "older";
        return saved;
      }
    } else if (const auto* chunk = std::get_if<Chunk>(&*message); chunk != nullptr && has_begun) {
      saved.out_of_range += chunk->out_of_range;
      saved.lanes.insert(saved.lanes.end(), chunk->lanes.begin(), chunk->lanes.end());
    } else if (std::holds_alternative<End>(*message) && has_begun) {
      saved.end = "whole";
    }
  }
  if (reader.broken()) saved.end = "garbled";
  return saved;
}

bool StateFile::Save(const std::string& name, std::int64_t now, const std::vector<Heard>& lanes) const {
  std::string bytes = Write(Begin{kVersion, name, 0, now});
  const std::size_t room = most_ - 512 - Write(End{}).size() - 16;  // files count in whole blocks of 512
  std::uint64_t written = 0;
  Chunk chunk;
  const auto flush = [&] {
    if (chunk.lanes.empty()) return true;
    const std::string frame = Write(chunk);
    if (bytes.size() + frame.size() > room) return false;
    written += chunk.lanes.size();
    bytes += frame;
    chunk.lanes.clear();
    return true;
  };
  bool fits = true;
  for (const Heard& heard : lanes) {
    chunk.lanes.push_back(heard);
    if (chunk.lanes.size() == 16 && !(fits = flush())) break;
  }
  if (fits) flush();
  bytes += Write(End{written});
  return ReplaceFile(path(), bytes);
}

}  // namespace opalroute::learning
