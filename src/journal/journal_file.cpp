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

constexpr mode_t kOwnerOnly = 0600;

std::string CompactionPath(const std::string& path) { return path + ".new"; }

}  // namespace

JournalFile::JournalFile(std::string path, std::size_t max_bytes)
    : path_(std::move(path)), max_bytes_(max_bytes) {
  unlink(CompactionPath(path_).c_str());  // a compaction that a process did not live to finish
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
  CutTornFrame();
  return lost_bytes;
}

bool JournalFile::Append(const std::string& frames) {
  if (bytes_ + frames.size() > max_bytes_ || !CutTornFrame()) return false;
  if (!WriteAllAt(file_.get(), frames, bytes_)) {
    torn_ = true;
    CutTornFrame();
    return false;
  }
  bytes_ += frames.size();
  return true;
}

// Invariant: nothing is written while bytes of a torn frame stand at the end. Frames behind it would never be
// read again; and the rest of it, whose bytes a client may have chosen, could be read as a frame behind a
// shorter one.
bool JournalFile::CutTornFrame() {
  if (torn_ && ftruncate(file_.get(), static_cast<off_t>(bytes_)) == 0) torn_ = false;
  return !torn_;
}

bool JournalFile::Replace(const std::string& frames) {
  // Both files count in whole blocks while the new one is written.
  const bool fits = bytes_ + frames.size() + 2 * kDiskBlockBytes <= max_bytes_;
  if (frames.size() >= bytes_ || !fits) return false;
  const std::string new_path = CompactionPath(path_);
  net::FileDescriptor file(open(new_path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, kOwnerOnly));
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
