// The journal, and other files of the state folder, on a disk whose calls fail for a while, or write a part:
// accepted requests stay, ended ones do not come back, a Retry-After time holds, and what is written after
// the faults is read again.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <system_error>
#include <utility>

#include "hot_restart/process_lock.h"
#include "hot_restart/shared_retry_after.h"
#include "journal/journal.h"
#include "journal/persistent_clock.h"

namespace {

// So many calls pass, then so many fail; a write that fails may have written some bytes before.
struct Faults {
  int passes = 0, failures = 0;
  int error = 0;
  std::size_t partly = 0;  // bytes that a failing write leaves in the file

  bool Strikes() {
    if (passes > 0) {
      --passes;
      return false;
    }
    if (failures == 0) return false;
    --failures;
    return true;
  }
  void Plan(int after, int count, int with, std::size_t part = 0) {
    passes = after;
    failures = count;
    error = with;
    partly = part;
  }
};

Faults opens, reads, writes, cuts;
constexpr int kForEver = std::numeric_limits<int>::max();

int Fail(int error) {
  errno = error;
  return -1;
}

}  // namespace

// In place of the C library's, for this executable alone.
extern "C" {

int open(const char* path, int flags, ...) {
  if (opens.Strikes()) return Fail(opens.error);
  va_list rest;
  va_start(rest, flags);
  const mode_t mode = (flags & O_CREAT) != 0 ? va_arg(rest, mode_t) : 0;
  va_end(rest);
  return static_cast<int>(syscall(SYS_openat, AT_FDCWD, path, flags, mode));
}

ssize_t pread(int fd, void* to, size_t size, off_t at) {
  if (reads.Strikes()) return Fail(reads.error);
  return syscall(SYS_pread64, fd, to, size, at);
}

ssize_t pwrite(int fd, const void* from, size_t size, off_t at) {
  if (!writes.Strikes()) return syscall(SYS_pwrite64, fd, from, size, at);
  if (writes.partly == 0) return Fail(writes.error);
  return syscall(SYS_pwrite64, fd, from, std::min(size, std::exchange(writes.partly, 0)), at);
}

int ftruncate(int fd, off_t size) noexcept {
  if (cuts.Strikes()) return Fail(cuts.error);
  return static_cast<int>(syscall(SYS_ftruncate, fd, size));
}

}  // extern "C"

namespace opalroute {
namespace {

namespace fs = std::filesystem;

constexpr std::size_t kDisk = 3'000'000;

class Folder {
 public:
  Folder() : path_(fs::temp_directory_path() / ("opalroute-journal-faults-" + std::to_string(getpid()))) {
    fs::remove_all(path_);
    fs::create_directories(path_);
  }
  ~Folder() { fs::remove_all(path_); }
  std::string path() const { return path_.string(); }
  std::string Bytes() const {
    std::ifstream file(path_ / "journal", std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  }

 private:
  const fs::path path_;
};

struct NoFaults {
  ~NoFaults() { opens = reads = writes = cuts = Faults{}; }
};

JournalEntry Request(const std::string& id, std::size_t size = 40) {
  JournalEntry entry;
  entry.id = id;
  entry.request_class = "payment";
  entry.body = std::string(size, 'b');
  entry.destination = 7;
  entry.deadline = 5'000'000;
  return entry;
}

std::set<std::string> Unfinished(const Journal& journal) {
  std::set<std::string> ids;
  for (const auto& [number, entry] : journal.entries()) ids.insert(entry.id);
  return ids;
}

TEST_CASE("reads that fail for a while lose nothing") {
  for (const int error : {EIO, EINTR, EAGAIN}) {
    for (const int failures : {1, 3, 30}) {
      const Folder folder;
      const NoFaults after;
      {
        Journal journal(folder.path(), kDisk);
        for (const char* id : {"a", "b", "c", "d", "e"}) REQUIRE(journal.RecordAccepted(Request(id, 30'000)));
      }
      const std::string before = folder.Bytes();
      for (const int passes : {0, 1, 2}) {  // the first piece of the file, one in its midst, the end
        reads.Plan(passes, failures, error);
        const Journal journal(folder.path(), kDisk);
        CHECK(Unfinished(journal).size() == 5);
        CHECK(journal.lost_bytes() == 0);
        CHECK(folder.Bytes() == before);
      }
    }
  }
}

TEST_CASE("a file that can't be read at all refuses the start, and stays as it is") {
  const Folder folder;
  const NoFaults after;
  { REQUIRE(Journal(folder.path(), kDisk).RecordAccepted(Request("a"))); }
  const std::string before = folder.Bytes();
  reads.Plan(0, kForEver, EIO);
  CHECK_THROWS_AS(Journal(folder.path(), kDisk), std::system_error);
  reads = Faults{};
  CHECK(folder.Bytes() == before);
  CHECK(Unfinished(Journal(folder.path(), kDisk)).size() == 1);
}

// What a relay does with five requests, and which it must have in its journal afterwards: those that were
// accepted and have not ended.
class Script {
 public:
  explicit Script(Journal& journal) : journal_(journal) {}
  void Play() {
    Accept("a");
    Accept("b");
    Attempt("a");
    End("a");
    Accept("c");
    EndWithNotification("b");
    Attempt("c");
    End("b");
    Accept("d");
    Accept("a");  // its id once more, after its end
    End("d");
    Accept("e");
  }
  const std::set<std::string>& unfinished() const { return unfinished_; }

 private:
  void Accept(const std::string& id) {
    if (journal_.RecordAccepted(Request(id))) unfinished_.insert(id);
  }
  void Attempt(const std::string& id) {
    if (unfinished_.count(id) > 0) journal_.RecordAttempt(id, {"e1", "ground", 17, true});
  }
  void EndWithNotification(const std::string& id) {
    if (unfinished_.count(id) > 0) journal_.RecordEndWithNotification(id, "notice");
  }
  void End(const std::string& id) {
    if (unfinished_.erase(id) > 0) journal_.RecordEnd(id);
  }

  Journal& journal_;
  std::set<std::string> unfinished_;
};

// Each write of the script fails in turn, once or more often, whole or after some bytes, and so do the cuts
// that would take those bytes back. Then the disk is well, one more message comes, and the process is killed.
TEST_CASE("writes that fail at any place leave what is unfinished, and nothing that has ended") {
  int played = 0;
  for (int passes = 0; passes < 14; ++passes)
    for (const int failures : {1, 2, 5})
      for (const std::size_t part : {0, 1, 20, 60})
        for (const int cuts_failing : {0, 1, 4}) {
          CAPTURE(passes);
          CAPTURE(failures);
          CAPTURE(part);
          CAPTURE(cuts_failing);
          const Folder folder;
          const NoFaults after;
          std::set<std::string> unfinished;
          {
            Journal journal(folder.path(), kDisk);
            Script script(journal);
            writes.Plan(passes, failures, part > 0 ? ENOSPC : EIO, part);
            cuts.Plan(0, cuts_failing, EIO);
            script.Play();
            writes = cuts = Faults{};
            unfinished = script.unfinished();
            REQUIRE(journal.RecordAccepted(Request("last")));
            unfinished.insert("last");
            CHECK(Unfinished(journal) == unfinished);
          }
          const Journal again(folder.path(), kDisk);
          CHECK(Unfinished(again) == unfinished);
          CHECK(again.lost_bytes() == 0);
          ++played;
        }
  CHECK(played == 14 * 3 * 4 * 3);
}

// A torn record's rest is the client's own bytes: were a shorter record written over its beginning, they
// could be read as a record of their own.
TEST_CASE("while a torn record can't be cut off nothing is written over it") {
  const Folder folder;
  const NoFaults after;
  Journal journal(folder.path(), kDisk);
  REQUIRE(journal.RecordAccepted(Request("a")));
  writes.Plan(0, 2, ENOSPC, 5'000);
  cuts.Plan(0, kForEver, EIO);
  CHECK_FALSE(journal.RecordAccepted(Request("long", 10'000)));
  writes = Faults{};
  CHECK_FALSE(journal.RecordAccepted(Request("short")));
  cuts = Faults{};
  CHECK(journal.RecordAccepted(Request("short")));
  CHECK(Unfinished(Journal(folder.path(), kDisk)) == std::set<std::string>{"a", "short"});
}

TEST_CASE("a compaction that can't be written leaves the old file, and is done later") {
  const Folder folder;
  const NoFaults after;
  Journal journal(folder.path(), kDisk);
  REQUIRE(journal.RecordAccepted(Request("kept")));
  for (int i = 0; i < 60; ++i) {
    const std::string id = "m" + std::to_string(i);
    if (i % 7 == 3) writes.Plan(0, 2, EIO);
    if (!journal.RecordAccepted(Request(id, 60'000))) continue;
    journal.RecordEnd(id);
    if (i % 5 == 0) CHECK(Unfinished(Journal(folder.path(), kDisk)).count("kept") == 1);
  }
  writes = Faults{};
  REQUIRE(journal.RecordAccepted(Request("last")));
  CHECK(Unfinished(Journal(folder.path(), kDisk)) == std::set<std::string>{"kept", "last"});
}

TEST_CASE("files of the state folder that can't be opened for a while do not refuse the start") {
  const net::SystemClock clock;
  const auto start = [&](const std::string& folder) {
    const hot_restart::ProcessLock lock(folder, true);
    PersistentClock(clock, folder).Persist();
    const Journal journal(folder, kDisk);
    const hot_restart::SharedRetryAfterTable times(folder, lock.own(), lock.other(), 8);
  };
  constexpr int kOpened = 6;  // two lock files, the clock, the journal, two files of Retry-After times
  for (const int error : {EIO, ENOSPC, EMFILE, ENFILE, EINTR})
    for (int passes = 0; passes <= kOpened; ++passes) {
      CAPTURE(error);
      CAPTURE(passes);
      const Folder folder;
      const NoFaults after;
      opens.Plan(passes, 3, error);
      CHECK_NOTHROW(start(folder.path()));
    }
  const Folder folder;
  const NoFaults after;
  opens.Plan(2, kForEver, EIO);
  CHECK_THROWS_AS(start(folder.path()), std::system_error);
}

// The Retry-After times of two processes of one relay: `first` publishes under faults, `second` reads.
class SharedTimes {
 public:
  explicit SharedTimes(const std::string& folder) : folder_(folder), second_(folder, 1, 0, kMaxEntries) {
    Restart();
  }
  void Restart() {
    first_.reset();
    first_ = std::make_unique<hot_restart::SharedRetryAfterTable>(folder_, 0, 1, kMaxEntries);
  }
  void Publish(std::int64_t destination, std::int64_t until) {
    first_->Publish({destination, 0, until});
    published_[destination] = std::max(published_[destination], until);
  }
  void EndBatch() { first_->HasChanges(); }
  // As a relay does at the end of each batch.
  void ReadChanges() {
    if (!second_.HasChanges()) return;
    for (const hot_restart::SharedRetryAfter& entry : second_.Active(0))
      seen_[entry.destination] = entry.until;
  }
  bool AllSeen() const { return seen_ == published_; }

 private:
  static constexpr std::size_t kMaxEntries = 8;
  const std::string folder_;
  std::unique_ptr<hot_restart::SharedRetryAfterTable> first_;
  hot_restart::SharedRetryAfterTable second_;
  std::map<std::int64_t, std::int64_t> published_;
  std::map<std::int64_t, std::int64_t> seen_;
};

TEST_CASE(
    "a Retry-After time that could not be written or read at once reaches the other process all the same") {
  for (int passes = 0; passes < 8; ++passes)
    for (const int failures : {1, 2, 5})
      for (const std::size_t part : {std::size_t{0}, std::size_t{7}})
        for (Faults* faulty : {&writes, &reads}) {
          CAPTURE(passes);
          CAPTURE(failures);
          CAPTURE(part);
          const Folder folder;
          const NoFaults after;
          SharedTimes times(folder.path());
          faulty->Plan(passes, failures, part > 0 ? ENOSPC : EIO, part);
          for (int i = 0; i < 4; ++i) {
            times.Publish(i % 3, 1000 + i);
            times.ReadChanges();
          }
          opens = reads = writes = cuts = Faults{};
          times.EndBatch();
          times.ReadChanges();
          CHECK(times.AllSeen());
        }
}

TEST_CASE("a process that starts while the disk fails keeps the Retry-After times of its predecessor") {
  for (int passes = 0; passes < 6; ++passes)
    for (Faults* faulty : {&reads, &writes, &cuts}) {
      CAPTURE(passes);
      const Folder folder;
      const NoFaults after;
      SharedTimes times(folder.path());
      for (int i = 0; i < 3; ++i) times.Publish(i, 1000 + i);
      faulty->Plan(passes, 3, EIO);
      times.Restart();
      times.Publish(3, 1003);
      opens = reads = writes = cuts = Faults{};
      times.EndBatch();
      times.ReadChanges();
      CHECK(times.AllSeen());
    }
}

}  // namespace
}  // namespace opalroute
