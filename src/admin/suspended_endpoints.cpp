#include "admin/suspended_endpoints.h"

#include <fcntl.h>

#include <cerrno>
#include <fstream>
#include <optional>
#include <utility>

#include "journal/durable_file.h"
#include "journal/file_lock.h"
#include "net/file_descriptor.h"

namespace opalroute::admin {

namespace {

constexpr const char* kFile = "bans";
constexpr const char* kLockFile = "bans.lock";
constexpr mode_t kOwnerOnly = 0600;

}  // namespace

SuspendedEndpoints::SuspendedEndpoints(std::string folder, std::size_t max_bytes)
    : folder_(std::move(folder)), max_bytes_(max_bytes) {
  RetryTransientErrors(Path(kFile), [this] { return Read(ids_); });
}

// Every write creates a new file, so its inode number or its modification time differs.
bool SuspendedEndpoints::HasChanged(const struct stat& now) const {
  return now.st_ino != last_read_.st_ino || now.st_mtim.tv_sec != last_read_.st_mtim.tv_sec ||
         now.st_mtim.tv_nsec != last_read_.st_mtim.tv_nsec;
}

// If the file can't be read, such as for lack of descriptors, the caller must keep the ids it has: if the
// file counted as empty, suspended endpoints would get requests.
bool SuspendedEndpoints::Read(std::set<std::string>& ids) {
  struct stat now {};
  if (stat(Path(kFile).c_str(), &now) != 0) {
    if (errno != ENOENT) return false;
    ids.clear();
    return true;
  }
  if (!HasChanged(now)) return true;
  std::ifstream file(Path(kFile));
  if (!file) return false;
  ids.clear();
  for (std::string id; std::getline(file, id);)
    if (!id.empty()) ids.insert(id);
  if (file.bad()) return false;
  last_read_ = now;
  return true;
}

bool SuspendedEndpoints::Refresh() {
  std::set<std::string> ids = ids_;
  if (!Read(ids) || ids == ids_) return false;
  ids_ = std::move(ids);
  return true;
}

bool SuspendedEndpoints::SetSuspended(const std::string& id, bool suspended) {
  const net::FileDescriptor lock_file(
      open(Path(kLockFile).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kOwnerOnly));
  if (!lock_file.valid()) return false;
  const std::optional<FileLock> lock = FileLock::Acquire(lock_file.get());
  if (!lock) return false;
  std::set<std::string> ids = ids_;
  if (!Read(ids)) return false;
  const bool differs = suspended ? ids.insert(id).second : ids.erase(id) > 0;
  if (differs && !Save(ids)) {
    last_read_ = {};  // so that the next call reads the file again
    return false;
  }
  ids_ = std::move(ids);
  return true;
}

bool SuspendedEndpoints::Save(const std::set<std::string>& ids) {
  std::string text;
  for (const std::string& id : ids) text += id + "\n";
  if (text.size() > max_bytes_) return false;
  if (!ReplaceFile(Path(kFile), text)) return false;
  stat(Path(kFile).c_str(), &last_read_);
  return true;
}

}  // namespace opalroute::admin
