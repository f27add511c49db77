#include "journal/journal_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>
#include <utility>

#include "journal/durable_file.h"
#include "journal/journal_record.h"
#include "net/framing.h"

namespace opalroute {

namespace {

constexpr mode_t kOwnerReadWrite = 0600;

std::string CompactionPath(const std::string& path) { return path + ".new"; }

}  // namespace

JournalFile::JournalFile(std::string path, std::size_t max_bytes)
    : path_(std::move(path)), max_bytes_(max_bytes) {
  unlink(CompactionPath(path_).c_str());  // left if a process ended during a compaction
  file_ = OpenOrCreate(path_);
}

std::size_t JournalFile::Recover(const std::function<bool(std::string_view record)>& apply) {
  const std::string content = ReadWholeFile(file_.get(), path_);
  bytes_ = 0;
  for (;;) {
    const net::FrameRead frame =
        net::ReadFrame(std::string_view(content).substr(bytes_), journal_record::kMaxBytes);
    if (frame.state != net::FrameState::kComplete || !apply(frame.record)) break;
    bytes_ += frame.size;
  }
  const std::size_t lost_bytes = content.size() - bytes_;
  torn_ = lost_bytes > 0;
  TruncateTornFrame();
  return lost_bytes;
}

bool JournalFile::Append(const std::string& frames) {
  if (bytes_ + frames.size() > max_bytes_ || !TruncateTornFrame()) return false;
  if (!WriteAllAt(file_.get(), frames, bytes_)) {
    torn_ = true;
    TruncateTornFrame();
    return false;
  }
  bytes_ += frames.size();
  return true;
}

// Invariant: nothing is written while the file ends in a torn frame. A frame appended after it would never be
// read. A shorter frame written over it would leave the rest of the torn frame, which may contain bytes
// chosen by a client, to be read as a frame.
bool JournalFile::TruncateTornFrame() {
  if (torn_ && ftruncate(file_.get(), static_cast<off_t>(bytes_)) == 0) torn_ = false;
  return !torn_;
}

bool JournalFile::Replace(const std::string& frames) {
  // The disk limit counts both files, each in whole blocks, while the new one is written.
  const bool fits = bytes_ + frames.size() + 2 * kDiskBlockBytes <= max_bytes_;
  if (frames.size() >= bytes_ || !fits) return false;
  const std::string new_path = CompactionPath(path_);
  net::FileDescriptor file(open(new_path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, kOwnerReadWrite));
  if (!file.valid()) return false;
  if (!WriteAllAt(file.get(), frames, 0) || std::rename(new_path.c_str(), path_.c_str()) != 0) {
    file.Close();
    unlink(new_path.c_str());
    return false;
  }
  file_ = std::move(file);
  torn_ = false;
  bytes_ = frames.size();
  return true;
}

bool JournalFile::Clear() {
  if (ftruncate(file_.get(), 0) != 0) return false;
  bytes_ = 0;
  return true;
}

}  // namespace opalroute
