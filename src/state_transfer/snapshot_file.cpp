#include "state_transfer/snapshot_file.h"

#include <algorithm>
#include <fstream>
#include <utility>

#include "journal/durable_file.h"
#include "state_transfer/frame_reader.h"

namespace opalroute::state_transfer {

namespace {

constexpr std::size_t kMinFileBytes = 2048;
constexpr std::size_t kDiskBlockBytes = 512;  // the disk limit counts whole blocks
constexpr std::size_t kEndMargin = 16;        // the frame of SnapshotEnd grows with its route count
constexpr std::size_t kRoutesPerChunk = 16;

// Visitor that adds a message to the loaded state. Returns false if the rest of the file is to be ignored.
struct MessageLoader {
  SnapshotFile::Saved& saved;
  bool& has_header;

  bool operator()(const SnapshotRequest&) const { return true; }

  bool operator()(const SnapshotHeader& header) const {
    has_header = true;
    saved.name = header.name;
    saved.written_at = header.written_at;
    if (header.version == kVersion) return true;
    saved.result = header.version > kVersion ? SnapshotResult::kNewerVersion : SnapshotResult::kOlderVersion;
    return false;
  }

  bool operator()(const SnapshotChunk& chunk) const {
    if (!has_header) return true;
    saved.out_of_range += chunk.out_of_range;
    saved.routes.insert(saved.routes.end(), chunk.routes.begin(), chunk.routes.end());
    return true;
  }

  bool operator()(const SnapshotEnd&) const {
    if (has_header) saved.result = SnapshotResult::kComplete;
    return true;
  }
};

// Appends routes in chunks to the bytes of a file, up to a size limit.
class ChunkWriter {
 public:
  ChunkWriter(std::string& bytes, std::size_t max_bytes) : bytes_(bytes), max_bytes_(max_bytes) {}

  // Returns false if a chunk does not fit; no more routes can be added then.
  bool Add(const NamedRouteState& route) {
    chunk_.routes.push_back(route);
    return chunk_.routes.size() < kRoutesPerChunk || Flush();
  }

  bool Flush() {
    if (chunk_.routes.empty()) return true;
    const std::string frame = EncodeFrame(chunk_);
    if (bytes_.size() + frame.size() > max_bytes_) return false;
    route_count_ += chunk_.routes.size();
    bytes_ += frame;
    chunk_.routes.clear();
    return true;
  }

  std::uint64_t route_count() const { return route_count_; }

 private:
  std::string& bytes_;
  const std::size_t max_bytes_;
  SnapshotChunk chunk_;
  std::uint64_t route_count_ = 0;
};

}  // namespace

SnapshotFile::SnapshotFile(std::string folder, std::size_t max_bytes)
    : folder_(std::move(folder)), max_file_bytes_(std::max(max_bytes / 2, kMinFileBytes)) {}

SnapshotFile::Saved SnapshotFile::Load() const {
  Saved saved;
  std::ifstream stream(path(), std::ios::binary);
  if (!stream) return saved;
  std::string bytes(max_file_bytes_ + 1, '\0');
  stream.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  bytes.resize(static_cast<std::size_t>(stream.gcount()));
  FrameReader reader;
  reader.Append(bytes);
  saved.result = SnapshotResult::kTruncated;
  bool has_header = false;
  while (const auto message = reader.Next()) {
    if (!std::visit(MessageLoader{saved, has_header}, *message)) return saved;
  }
  if (reader.corrupt()) saved.result = SnapshotResult::kCorrupt;
  return saved;
}

bool SnapshotFile::Save(const std::string& name, std::int64_t now,
                        const std::vector<NamedRouteState>& routes) const {
  std::string bytes = EncodeFrame(SnapshotHeader{kVersion, name, 0, now});
  const std::size_t end_bytes = EncodeFrame(SnapshotEnd{}).size() + kEndMargin;
  ChunkWriter writer(bytes, max_file_bytes_ - kDiskBlockBytes - end_bytes);
  const bool all_fit = std::all_of(routes.begin(), routes.end(),
                                   [&](const NamedRouteState& route) { return writer.Add(route); });
  if (all_fit) writer.Flush();
  bytes += EncodeFrame(SnapshotEnd{writer.route_count()});
  return ReplaceFile(path(), bytes);
}

}  // namespace opalroute::state_transfer
