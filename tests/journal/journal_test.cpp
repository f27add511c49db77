// The journal on its own: torn tails, compaction and the disk's budget.
#include "journal/journal.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>

namespace opalroute {
namespace {

namespace fs = std::filesystem;

struct Folder {
  Folder() : path(fs::temp_directory_path() / ("opalroute-journal-" + std::to_string(getpid()))) {
    fs::remove_all(path);
    fs::create_directories(path);
  }
  ~Folder() { fs::remove_all(path); }
  std::size_t Blocks() const {  // as the disk counts: each file in whole 512 bytes
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

TEST_CASE("what was written comes back") {
  Folder folder;
  {
    Journal journal(folder.path, 3'000'000);
    REQUIRE(journal.RecordAccepted(Request("a", 100)));
    REQUIRE(journal.RecordAccepted(Request("b", 100)));
    REQUIRE(journal.RecordAccepted(Request("c", 0)));
    CHECK_FALSE(journal.RecordAccepted(Request("a", 1)));  // it is in use
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

// SIGKILL may come at any byte: whatever the length of the tail that is left, recovery stops cleanly, keeps
// every whole record before it, and what is written next is read again.
TEST_CASE("a file cut at any byte, or damaged at any byte, is recovered") {
  Folder folder;
  {
    Journal journal(folder.path, 3'000'000);
    for (const char* id : {"a", "b", "c"}) {
      REQUIRE(journal.RecordAccepted(Request(id, 20)));
      REQUIRE(journal.RecordAttempt(id, {"e1", "ground", 17, true}));
    }
  }
  std::ifstream file(folder.path / "journal", std::ios::binary);
  const std::string whole((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  std::size_t before = 0;
  for (std::size_t size = 0; size <= whole.size(); ++size) {
    std::ofstream(folder.path / "journal", std::ios::binary) << whole.substr(0, size);
    Journal journal(folder.path, 3'000'000);
    CHECK(journal.entries().size() >= before);
    before = journal.entries().size();
    REQUIRE(journal.RecordAccepted(Request("z", 5)));
    CHECK(Journal(folder.path, 3'000'000).entries().size() == before + 1);
  }
  CHECK(before == 3);
  for (std::size_t at = 0; at < whole.size(); ++at) {
    std::string damaged = whole;
    damaged[at] = static_cast<char>(damaged[at] ^ 0x41);
    std::ofstream(folder.path / "journal", std::ios::binary) << damaged;
    const Journal journal(folder.path, 3'000'000);
    CHECK(journal.entries().size() <= 3);
    CHECK(journal.lost_bytes() > 0);
  }
}

// 64 KiB bodies times the requests that may be open are more than the disk: what finds no space is not
// accepted, what was accepted can always be ended, and compaction never exceeds the limit.
TEST_CASE("the disk's limit holds, compaction included") {
  Folder folder;
  constexpr std::size_t kDisk = 3'000'000;
  Journal journal(folder.path, kDisk);
  std::vector<std::string> open;
  std::size_t most = 0, rejected = 0;
  for (int i = 0; i < 600; ++i) {
    const std::string id = "m" + std::to_string(i);
    if (journal.RecordAccepted(Request(id, i % 3 == 0 ? 65536 : 200))) {
      open.push_back(id);
    } else {
      ++rejected;
      REQUIRE_FALSE(open.empty());
      for (int attempt = 0; attempt < 12; ++attempt)
        REQUIRE(journal.RecordAttempt(open.front(), {"endpoint-with-a-long-name", "ground", 17, true}));
      REQUIRE(journal.RecordEndWithNotification(open.front(), std::string(150, 'n')));
      REQUIRE(journal.RecordEnd(open.front()));
      open.erase(open.begin());
    }
    most = std::max(most, folder.Blocks());
  }
  CHECK(rejected > 50);
  CHECK(most <= kDisk);
  CHECK(most > kDisk / 2);  // the limit was near
  CHECK(Journal(folder.path, kDisk).entries().size() == open.size());
}

// Guards against a reserve so careful that usual requests are rejected while most of the disk is free: a
// relay at 120 requests a second holds several hundred through an outage.
TEST_CASE("a thousand usual requests find room, and can all be attempted and ended") {
  Folder folder;
  Journal journal(folder.path, 3'000'000);
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < 1000; ++i)
      REQUIRE(journal.RecordAccepted(Request("0123456789abcdef" + std::to_string(i), 212)));
    for (int i = 0; i < 1000; ++i)
      REQUIRE(
          journal.RecordAttempt("0123456789abcdef" + std::to_string(i), {"s-5be2a07c", "ground", 17, true}));
    for (int i = 0; i < 1000; ++i) REQUIRE(journal.RecordEnd("0123456789abcdef" + std::to_string(i)));
    CHECK(folder.Blocks() <= 3'000'000);
  }
}

// Guards against notifications that pile up without bound while the platform can't be reached: they keep
// their space until each is acknowledged, and new requests are refused meanwhile.
TEST_CASE("notifications that wait for the platform count towards the disk's limit") {
  Folder folder;
  constexpr std::size_t kDisk = 300'000;
  Journal journal(folder.path, kDisk);
  int accepted = 0;
  for (; journal.RecordAccepted(Request("r" + std::to_string(accepted), 212)); ++accepted) {
    REQUIRE(accepted < 10'000);
    REQUIRE(journal.RecordEndWithNotification("r" + std::to_string(accepted), "the platform is told"));
  }
  CHECK(accepted > 100);
  CHECK(folder.Blocks() <= kDisk);
  CHECK(journal.entries().size() == static_cast<std::size_t>(accepted));
  for (int i = 0; i < accepted; ++i) REQUIRE(journal.RecordEnd("r" + std::to_string(i)));
  CHECK(journal.entries().empty());
  CHECK(journal.RecordAccepted(Request("after", 212)));
}

// A compaction that the process did not live to end leaves its file: the old one stands.
TEST_CASE("a half-written compaction is dropped") {
  Folder folder;
  { REQUIRE(Journal(folder.path, 3'000'000).RecordAccepted(Request("a", 10))); }
  std::ofstream(folder.path / "journal.new") << "half";
  CHECK(Journal(folder.path, 3'000'000).entries().size() == 1);
  CHECK_FALSE(fs::exists(folder.path / "journal.new"));
}

}  // namespace
}  // namespace opalroute
