// The journal and other files of the state folder while system calls fail for a time or write only a part
// of their bytes. Guards against lost requests, ended requests that come back after a restart, lost
// Retry-After times, and records that can't be read because they were written after a fault.
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

// Faults of one system call: the first `successes` calls succeed, the next `failures` calls fail.
struct Faults {
  int successes = 0, failures = 0;
  int error = 0;
  std::size_t partial_bytes = 0;  // if not 0, the first failing write returns after at most so many bytes

  bool NextCallFails() {
    if (successes > 0) {
      --successes;
      return false;
    }
    if (failures == 0) return false;
    --failures;
    return true;
  }
  void Schedule(int success_count, int failure_count, int error_code, std::size_t partial = 0) {
    successes = success_count;
    failures = failure_count;
    error = error_code;
    partial_bytes = partial;
  }
};

Faults opens, reads, writes, truncations;
constexpr int kForever = std::numeric_limits<int>::max();

int Fail(int error) {
  errno = error;
  return -1;
}

}  // namespace

// These replace the C library's functions in this executable.
extern "C" {

int open(const char* path, int flags, ...) {
  if (opens.NextCallFails()) return Fail(opens.error);
  va_list rest;
  va_start(rest, flags);
  const mode_t mode = (flags & O_CREAT) != 0 ? va_arg(rest, mode_t) : 0;
  va_end(rest);
  return static_cast<int>(syscall(SYS_openat, AT_FDCWD, path, flags, mode));
}

ssize_t pread(int fd, void* buffer, size_t size, off_t offset) {
  if (reads.NextCallFails()) return Fail(reads.error);
  return syscall(SYS_pread64, fd, buffer, size, offset);
}

ssize_t pwrite(int fd, const void* buffer, size_t size, off_t offset) {
  if (!writes.NextCallFails()) return syscall(SYS_pwrite64, fd, buffer, size, offset);
  if (writes.partial_bytes == 0) return Fail(writes.error);
  return syscall(SYS_pwrite64, fd, buffer, std::min(size, std::exchange(writes.partial_bytes, 0)), offset);
}

int ftruncate(int fd, off_t size) noexcept {
  if (truncations.NextCallFails()) return Fail(truncations.error);
  return static_cast<int>(syscall(SYS_ftruncate, fd, size));
}

}  // extern "C"

namespace opalroute {
namespace {

namespace fs = std::filesystem;

constexpr std::size_t kDiskBytes = 3'000'000;

class TemporaryFolder {
 public:
  TemporaryFolder()
      : path_(fs::temp_directory_path() / ("opalroute-journal-faults-" + std::to_string(getpid()))) {
    fs::remove_all(path_);
    fs::create_directories(path_);
  }
  ~TemporaryFolder() { fs::remove_all(path_); }
  std::string path() const { return path_.string(); }
  std::string JournalBytes() const {
    std::ifstream file(path_ / "journal", std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  }

 private:
  const fs::path path_;
};

struct FaultsClearedAtExit {
  ~FaultsClearedAtExit() { opens = reads = writes = truncations = Faults{}; }
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

std::set<std::string> UnfinishedIds(const Journal& journal) {
  std::set<std::string> ids;
  for (const auto& [number, entry] : journal.entries()) ids.insert(entry.id);
  return ids;
}

TEST_CASE("temporary read failures lose nothing") {
  for (const int error : {EIO, EINTR, EAGAIN}) {
    for (const int failures : {1, 3, 30}) {
      const TemporaryFolder folder;
      const FaultsClearedAtExit cleared_at_exit;
      {
        Journal journal(folder.path(), kDiskBytes);
        for (const char* id : {"a", "b", "c", "d", "e"}) REQUIRE(journal.RecordAccepted(Request(id, 30'000)));
      }
      const std::string before = folder.JournalBytes();
      for (const int successes : {0, 1, 2}) {  // the first chunk of the file, a middle one, the end
        reads.Schedule(successes, failures, error);
        const Journal journal(folder.path(), kDiskBytes);
        CHECK(UnfinishedIds(journal).size() == 5);
        CHECK(journal.lost_bytes() == 0);
        CHECK(folder.JournalBytes() == before);
      }
    }
  }
}

TEST_CASE("a permanent read failure prevents the start and leaves the file unchanged") {
  const TemporaryFolder folder;
  const FaultsClearedAtExit cleared_at_exit;
  { REQUIRE(Journal(folder.path(), kDiskBytes).RecordAccepted(Request("a"))); }
  const std::string before = folder.JournalBytes();
  reads.Schedule(0, kForever, EIO);
  CHECK_THROWS_AS(Journal(folder.path(), kDiskBytes), std::system_error);
  reads = Faults{};
  CHECK(folder.JournalBytes() == before);
  CHECK(UnfinishedIds(Journal(folder.path(), kDiskBytes)).size() == 1);
}

// A fixed sequence of journal operations for five request ids. Tracks which requests must be unfinished after
// it: those that were accepted and have not ended.
class RequestSequence {
 public:
  explicit RequestSequence(Journal& journal) : journal_(journal) {}
  void Run() {
    Accept("a");
    Accept("b");
    Attempt("a");
    End("a");
    Accept("c");
    EndWithNotification("b");
    Attempt("c");
    End("b");
    Accept("d");
    Accept("a");  // the id is used again after its end
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

// Writes fail from every position in the sequence, once or several times in a row, completely or after some
// bytes; so do the truncations that remove those bytes. Then the faults end, one more request is accepted and
// the journal is read again.
TEST_CASE("write failures at any position keep unfinished requests and no ended ones") {
  int runs = 0;
  for (int successes = 0; successes < 14; ++successes)
    for (const int failures : {1, 2, 5})
      for (const std::size_t partial : {0, 1, 20, 60})
        for (const int truncation_failures : {0, 1, 4}) {
          CAPTURE(successes);
          CAPTURE(failures);
          CAPTURE(partial);
          CAPTURE(truncation_failures);
          const TemporaryFolder folder;
          const FaultsClearedAtExit cleared_at_exit;
          std::set<std::string> unfinished;
          {
            Journal journal(folder.path(), kDiskBytes);
            RequestSequence sequence(journal);
            writes.Schedule(successes, failures, partial > 0 ? ENOSPC : EIO, partial);
            truncations.Schedule(0, truncation_failures, EIO);
            sequence.Run();
            writes = truncations = Faults{};
            unfinished = sequence.unfinished();
            REQUIRE(journal.RecordAccepted(Request("last")));
            unfinished.insert("last");
            CHECK(UnfinishedIds(journal) == unfinished);
          }
          const Journal recovered(folder.path(), kDiskBytes);
          CHECK(UnfinishedIds(recovered) == unfinished);
          CHECK(recovered.lost_bytes() == 0);
          ++runs;
        }
  CHECK(runs == 14 * 3 * 4 * 3);
}

// A torn record may contain bytes chosen by the client. If a shorter record were written over its start, the
// rest could be read as a record.
TEST_CASE("nothing is written over a torn record until it is truncated") {
  const TemporaryFolder folder;
  const FaultsClearedAtExit cleared_at_exit;
  Journal journal(folder.path(), kDiskBytes);
  REQUIRE(journal.RecordAccepted(Request("a")));
  writes.Schedule(0, 2, ENOSPC, 5'000);
  truncations.Schedule(0, kForever, EIO);
  CHECK_FALSE(journal.RecordAccepted(Request("long", 10'000)));
  writes = Faults{};
  CHECK_FALSE(journal.RecordAccepted(Request("short")));
  truncations = Faults{};
  CHECK(journal.RecordAccepted(Request("short")));
  CHECK(UnfinishedIds(Journal(folder.path(), kDiskBytes)) == std::set<std::string>{"a", "short"});
}

TEST_CASE("a failed compaction leaves the old file, and a later one succeeds") {
  const TemporaryFolder folder;
  const FaultsClearedAtExit cleared_at_exit;
  Journal journal(folder.path(), kDiskBytes);
  REQUIRE(journal.RecordAccepted(Request("kept")));
  for (int i = 0; i < 60; ++i) {
    const std::string id = "m" + std::to_string(i);
    if (i % 7 == 3) writes.Schedule(0, 2, EIO);
    if (!journal.RecordAccepted(Request(id, 60'000))) continue;
    journal.RecordEnd(id);
    if (i % 5 == 0) CHECK(UnfinishedIds(Journal(folder.path(), kDiskBytes)).count("kept") == 1);
  }
  writes = Faults{};
  REQUIRE(journal.RecordAccepted(Request("last")));
  CHECK(UnfinishedIds(Journal(folder.path(), kDiskBytes)) == std::set<std::string>{"kept", "last"});
}

TEST_CASE("temporary failures to open files of the state folder do not prevent the start") {
  const net::SystemClock clock;
  const auto start = [&](const std::string& folder) {
    const hot_restart::ProcessLock lock(folder, true);
    PersistentClock(clock, folder).Persist();
    const Journal journal(folder, kDiskBytes);
    const hot_restart::SharedRetryAfterTable table(folder, lock.own_slot(), lock.other_slot(), 8);
  };
  constexpr int kOpenCalls = 6;  // two lock files, the clock, the journal, two files of Retry-After times
  for (const int error : {EIO, ENOSPC, EMFILE, ENFILE, EINTR})
    for (int successes = 0; successes <= kOpenCalls; ++successes) {
      CAPTURE(error);
      CAPTURE(successes);
      const TemporaryFolder folder;
      const FaultsClearedAtExit cleared_at_exit;
      opens.Schedule(successes, 3, error);
      CHECK_NOTHROW(start(folder.path()));
    }
  const TemporaryFolder folder;
  const FaultsClearedAtExit cleared_at_exit;
  opens.Schedule(2, kForever, EIO);
  CHECK_THROWS_AS(start(folder.path()), std::system_error);
}

// The Retry-After tables of two processes of one relay: the first publishes under faults, the second reads.
class SharedTables {
 public:
  explicit SharedTables(const std::string& folder) : folder_(folder), second_(folder, 1, 0, kMaxEntries) {
    RestartFirst();
  }
  void RestartFirst() {
    first_.reset();
    first_ = std::make_unique<hot_restart::SharedRetryAfterTable>(folder_, 0, 1, kMaxEntries);
  }
  void Publish(std::int64_t destination, std::int64_t until) {
    first_->Publish({destination, 0, until});
    published_[destination] = std::max(published_[destination], until);
  }
  void RetryWrites() { first_->HasChanges(); }
  // Reads as a relay does at the end of each batch.
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

TEST_CASE("a Retry-After time whose write or read failed at first still reaches the other process") {
  for (int successes = 0; successes < 8; ++successes)
    for (const int failures : {1, 2, 5})
      for (const std::size_t partial : {std::size_t{0}, std::size_t{7}})
        for (Faults* faulty : {&writes, &reads}) {
          CAPTURE(successes);
          CAPTURE(failures);
          CAPTURE(partial);
          const TemporaryFolder folder;
          const FaultsClearedAtExit cleared_at_exit;
          SharedTables tables(folder.path());
          faulty->Schedule(successes, failures, partial > 0 ? ENOSPC : EIO, partial);
          for (int i = 0; i < 4; ++i) {
            tables.Publish(i % 3, 1000 + i);
            tables.ReadChanges();
          }
          opens = reads = writes = truncations = Faults{};
          tables.RetryWrites();
          tables.ReadChanges();
          CHECK(tables.AllSeen());
        }
}

TEST_CASE("a process that starts during disk faults keeps the Retry-After times of its predecessor") {
  for (int successes = 0; successes < 6; ++successes)
    for (Faults* faulty : {&reads, &writes, &truncations}) {
      CAPTURE(successes);
      const TemporaryFolder folder;
      const FaultsClearedAtExit cleared_at_exit;
      SharedTables tables(folder.path());
      for (int i = 0; i < 3; ++i) tables.Publish(i, 1000 + i);
      faulty->Schedule(successes, 3, EIO);
      tables.RestartFirst();
      tables.Publish(3, 1003);
      opens = reads = writes = truncations = Faults{};
      tables.RetryWrites();
      tables.ReadChanges();
      CHECK(tables.AllSeen());
    }
}

}  // namespace
}  // namespace opalroute
