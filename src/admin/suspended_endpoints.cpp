#include "admin/suspended_endpoints.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <utility>

#include "journal/durable_file.h"

namespace opalroute::admin {

namespace {

constexpr const char* kFile = "bans";
constexpr const char* kLock = "bans.lock";

}  // namespace

SuspendedEndpoints::SuspendedEndpoints(std::string folder, std::size_t most_bytes)
    : folder_(std::move(folder)), most_bytes_(most_bytes) {
  RetryTransientErrors(Path(kFile), [this] { return Read(ids_); });
}

// Danger: a file that can't be opened just now, for want of descriptors, bans as it did before.
bool SuspendedEndpoints::Read(std::set<std::string>& ids) {
  struct stat now {};
  if (stat(Path(kFile).c_str(), &now) != 0) {
    if (errno != ENOENT) return false;
    ids.clear();
    return true;
  }
  // Each writing is a new file, so its number or its time differs.
  if (now.st_ino == read_.st_ino && now.st_mtim.tv_sec == read_.st_mtim.tv_sec &&
      now.st_mtim.tv_nsec == read_.st_mtim.tv_nsec)
    return true;
  std::ifstream file(Path(kFile));
  if (!file) return false;
  ids.clear();
  for (std::string id; std::getline(file, id);)
    if (!id.empty()) ids.insert(id);
  if (file.bad()) return false;
  read_ = now;
  return true;
}

bool SuspendedEndpoints::Refresh() {
  std::set<std::string> ids = ids_;
  if (!Read(ids) || ids == ids_) return false;
  ids_ = std::move(ids);
  return true;
}

bool SuspendedEndpoints::SetSuspended(const std::string& id, bool banned) {
  const int lock = open(Path(kLock).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lock < 0) return false;
  bool kept = false;
  if (flock(lock, LOCK_EX) == 0) {  // held for one small write
    std::set<std::string> ids = ids_;
    if (Read(ids)) {
      const bool differs = banned ? ids.insert(id).second : ids.erase(id) > 0;
      kept = !differs || Save(ids);
      if (kept) ids_ = std::move(ids);
      if (!kept) read_ = {};  // what another process has written is news still
    }
  }
  close(lock);
  return kept;
}

bool SuspendedEndpoints::Save(const std::set<std::string>& ids) {
  std::string text;
  for (const std::string& id : ids) text += id + "\n";
  if (text.size() > most_bytes_) return false;
  if (!ReplaceFile(Path(kFile), text)) return false;
  stat(Path(kFile).c_str(), &read_);
  return true;
}

}  // namespace opalroute::admin
