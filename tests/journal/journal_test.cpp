// The journal alone: recovery after torn writes, compaction and the disk limit.
#include "journal/journal.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>

namespace opalroute {
namespace {

namespace fs = std::filesystem;

struct TemporaryFolder {
  TemporaryFolder() : path(fs::temp_directory_path() / ("opalroute-journal-" + std::to_string(getpid()))) {
    fs::remove_all(path);
    fs::create_directories(path);
  }
  ~TemporaryFolder() { fs::remove_all(path); }
  std::size_t DiskBytes() const {  // each file counts in whole blocks of 512 bytes
    std::size_t bytes = 0;
    for (const auto& file : fs::directory_iterator(path)) bytes += (file.file_size() + 511) / 512 * 512;
    return bytes;
  }
  fs::path path;
};

JournalEntry Request(const std::string& id, std::size_t size) {
  JournalEntry entry;
  entry.id = id;
  entry.request_class = "order";
  entry.tenant = "nord";
  entry.key = "key-" + id;
  entry.body = std::string(size, 'b');
  entry.destination = 7;
  entry.deadline = 5'000'000;
  return entry;
}

TEST_CASE("recorded entries are recovered") {
  TemporaryFolder folder;
  {
    Journal journal(folder.path, 3'000'000);
    REQUIRE(journal.RecordAccepted(Request("a", 100)));
    REQUIRE(journal.RecordAccepted(Request("b", 100)));
    REQUIRE(journal.RecordAccepted(Request("c", 0)));
    CHECK_FALSE(journal.RecordAccepted(Request("a", 1)));  // the id is in use
    REQUIRE(journal.RecordAttempt("a", {"e1", "ground", 17, true}));
    REQUIRE(journal.RecordAttempt("a", {"e2", "first", 18, true}));
    REQUIRE(journal.RecordNotExecuted("a", 0));
    REQUIRE(journal.RecordEnd("b"));
    REQUIRE(journal.RecordEndWithNotification("c", "notice"));
    CHECK_FALSE(journal.RecordEnd("b"));
  }
  const Journal journal(folder.path, 3'000'000);
  REQUIRE(journal.entries().size() == 2);
  const JournalEntry& a = journal.entries().begin()->second;
  CHECK(a.key == "key-a");
  CHECK(a.body == std::string(100, 'b'));
  CHECK(a.deadline == 5'000'000);
  REQUIRE(a.attempts.size() == 2);
  CHECK_FALSE(a.attempts[0].may_have_run);
  CHECK(a.attempts[1].may_have_run);
  CHECK(a.attempts[1].zone == "first");
  CHECK(std::next(journal.entries().begin())->second.notification == "notice");
}

// SIGKILL may interrupt a write at any byte. Whatever the length of the torn tail, recovery must keep every
// complete record before it, and records appended afterwards must be recovered too.
TEST_CASE("a file truncated or damaged at any byte is recovered") {
  TemporaryFolder folder;
  {
    Journal journal(folder.path, 3'000'000);
    for (const char* id : {"a", "b", "c"}) {
      REQUIRE(journal.RecordAccepted(Request(id, 20)));
      REQUIRE(journal.RecordAttempt(id, {"e1", "ground", 17, true}));
    }
  }
  std::ifstream file(folder.path / "journal", std::ios::binary);
  const std::string whole((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  std::size_t recovered = 0;
  for (std::size_t size = 0; size <= whole.size(); ++size) {
    std::ofstream(folder.path / "journal", std::ios::binary) << whole.substr(0, size);
    Journal journal(folder.path, 3'000'000);
    CHECK(journal.entries().size() >= recovered);
    recovered = journal.entries().size();
    REQUIRE(journal.RecordAccepted(Request("z", 5)));
    CHECK(Journal(folder.path, 3'000'000).entries().size() == recovered + 1);
  }
  CHECK(recovered == 3);
  for (std::size_t at = 0; at < whole.size(); ++at) {
    std::string damaged = whole;
    damaged[at] = static_cast<char>(damaged[at] ^ 0x41);
    std::ofstream(folder.path / "journal", std::ios::binary) << damaged;
    const Journal journal(folder.path, 3'000'000);
    CHECK(journal.entries().size() <= 3);
    CHECK(journal.lost_bytes() > 0);
  }
}

// The open requests with 64 KiB bodies need more than the disk limit. Requests without space must be
// rejected, accepted ones must always be able to end, and compaction must stay within the limit.
TEST_CASE("the disk limit holds, including compaction") {
  TemporaryFolder folder;
  constexpr std::size_t kDiskLimit = 3'000'000;
  Journal journal(folder.path, kDiskLimit);
  std::vector<std::string> open_ids;
  std::size_t max_disk_bytes = 0, rejected = 0;
  for (int i = 0; i < 600; ++i) {
    const std::string id = "m" + std::to_string(i);
    if (journal.RecordAccepted(Request(id, i % 3 == 0 ? 65536 : 200))) {
      open_ids.push_back(id);
    } else {
      ++rejected;
      REQUIRE_FALSE(open_ids.empty());
      for (int attempt = 0; attempt < 12; ++attempt)
        REQUIRE(journal.RecordAttempt(open_ids.front(), {"endpoint-with-a-long-name", "ground", 17, true}));
      REQUIRE(journal.RecordEndWithNotification(open_ids.front(), std::string(150, 'n')));
      REQUIRE(journal.RecordEnd(open_ids.front()));
      open_ids.erase(open_ids.begin());
    }
    max_disk_bytes = std::max(max_disk_bytes, folder.DiskBytes());
  }
  CHECK(rejected > 50);
  CHECK(max_disk_bytes <= kDiskLimit);
  CHECK(max_disk_bytes > kDiskLimit / 2);  // the test came near the limit
  CHECK(Journal(folder.path, kDiskLimit).entries().size() == open_ids.size());
}

// Guards against reserving so much space per request that requests of usual size are rejected while most of
// the disk is free: a relay at 120 requests per second holds several hundred during an outage.
TEST_CASE("a thousand requests of usual size fit, and all can be attempted and ended") {
  TemporaryFolder folder;
  Journal journal(folder.path, 3'000'000);
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < 1000; ++i)
      REQUIRE(journal.RecordAccepted(Request("0123456789abcdef" + std::to_string(i), 212)));
    for (int i = 0; i < 1000; ++i)
      REQUIRE(
          journal.RecordAttempt("0123456789abcdef" + std::to_string(i), {"s-5be2a07c", "ground", 17, true}));
    for (int i = 0; i < 1000; ++i) REQUIRE(journal.RecordEnd("0123456789abcdef" + std::to_string(i)));
    CHECK(folder.DiskBytes() <= 3'000'000);
  }
}

// Guards against unbounded growth by undelivered notifications while the platform is unreachable: each keeps
// its space until it is acknowledged, and new requests are rejected once the space is used up.
TEST_CASE("undelivered notifications count towards the disk limit") {
  TemporaryFolder folder;
  constexpr std::size_t kDiskLimit = 300'000;
  Journal journal(folder.path, kDiskLimit);
  int accepted = 0;
  for (; journal.RecordAccepted(Request("r" + std::to_string(accepted), 212)); ++accepted) {
    REQUIRE(accepted < 10'000);
    REQUIRE(journal.RecordEndWithNotification("r" + std::to_string(accepted), "the platform is told"));
  }
  CHECK(accepted > 100);
  CHECK(folder.DiskBytes() <= kDiskLimit);
  CHECK(journal.entries().size() == static_cast<std::size_t>(accepted));
  for (int i = 0; i < accepted; ++i) REQUIRE(journal.RecordEnd("r" + std::to_string(i)));
  CHECK(journal.entries().empty());
  CHECK(journal.RecordAccepted(Request("after", 212)));
}

// A process that ends during a compaction leaves an incomplete new file. The old one must stay in use.
TEST_CASE("an incomplete compaction is discarded") {
  TemporaryFolder folder;
  { REQUIRE(Journal(folder.path, 3'000'000).RecordAccepted(Request("a", 10))); }
  std::ofstream(folder.path / "journal.new") << "half";
  CHECK(Journal(folder.path, 3'000'000).entries().size() == 1);
  CHECK_FALSE(fs::exists(folder.path / "journal.new"));
}

}  // namespace
}  // namespace opalroute
