#include "state_transfer/snapshot_file.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <utility>

#include "journal/durable_file.h"
#include "state_transfer/stream.h"

namespace opalroute::state_transfer {

SnapshotFile::SnapshotFile(std::string folder, std::size_t most_bytes)
    : folder_(std::move(folder)), most_(std::max<std::size_t>(most_bytes / 2, 2048)) {}

SnapshotFile::Saved SnapshotFile::Load() const {
  Saved saved;
  std::ifstream stream(path(), std::ios::binary);
  if (!stream) return saved;
  std::string bytes(most_ + 1, '\0');
  stream.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  bytes.resize(static_cast<std::size_t>(stream.gcount()));
  FrameReader reader;
  reader.Append(bytes);
  saved.result = "cut";
  bool has_begun = false;
  while (const auto message = reader.Next()) {
    if (const auto* begin = std::get_if<SnapshotHeader>(&*message)) {
      has_begun = true;
      saved.name = begin->name;
      saved.written_at = begin->written_at;
      if (begin->version != kVersion) {
        saved.result = begin->version > kVersion ? "newer" : "older";
        return saved;
      }
    } else if (const auto* chunk = std::get_if<SnapshotChunk>(&*message); chunk != nullptr && has_begun) {
      saved.out_of_range += chunk->out_of_range;
      saved.routes.insert(saved.routes.end(), chunk->routes.begin(), chunk->routes.end());
    } else if (std::holds_alternative<SnapshotEnd>(*message) && has_begun) {
      saved.result = "whole";
    }
  }
  if (reader.broken()) saved.result = "garbled";
  return saved;
}

bool SnapshotFile::Save(const std::string& name, std::int64_t now,
                        const std::vector<NamedRouteState>& lanes) const {
  std::string bytes = EncodeFrame(SnapshotHeader{kVersion, name, 0, now});
  const std::size_t room =
      most_ - 512 - EncodeFrame(SnapshotEnd{}).size() - 16;  // files count in whole blocks of 512
  std::uint64_t written = 0;
  SnapshotChunk chunk;
  const auto flush = [&] {
    if (chunk.routes.empty()) return true;
    const std::string frame = EncodeFrame(chunk);
    if (bytes.size() + frame.size() > room) return false;
    written += chunk.routes.size();
    bytes += frame;
    chunk.routes.clear();
    return true;
  };
  bool fits = true;
  for (const NamedRouteState& heard : lanes) {
    chunk.routes.push_back(heard);
    if (chunk.routes.size() == 16 && !(fits = flush())) break;
  }
  if (fits) flush();
  bytes += EncodeFrame(SnapshotEnd{written});
  return ReplaceFile(path(), bytes);
}

}  // namespace opalroute::state_transfer
