// The exact bytes of each file of the state folder, as a released version wrote them (docs/state-folder.md).
// The current version must write the same bytes and read these files.
#include <doctest/doctest.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <string>

#include "admin/suspended_endpoints.h"
#include "hot_restart/process_lock.h"
#include "hot_restart/shared_retry_after.h"
#include "journal/journal.h"
#include "journal/journal_record.h"
#include "journal/persistent_clock.h"
#include "net/framing.h"
#include "relay/membership_file.h"

namespace opalroute {
namespace {

namespace fs = std::filesystem;

constexpr std::size_t kDiskBytes = 3'000'000;

std::string ToHex(const std::string& bytes) {
  std::string hex;
  char digits[3];
  for (const char byte : bytes) {
    std::snprintf(digits, sizeof(digits), "%02x", static_cast<unsigned>(static_cast<unsigned char>(byte)));
    hex += digits;
  }
  return hex;
}

std::string FromHex(const std::string& hex) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
    bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
  return bytes;
}

class StateFolder {
 public:
  StateFolder() : path_(fs::temp_directory_path() / ("opalroute-formats-" + std::to_string(getpid()))) {
    fs::remove_all(path_);
    fs::create_directories(path_);
  }
  ~StateFolder() { fs::remove_all(path_); }
  std::string path() const { return path_.string(); }
  std::string Read(const std::string& name) const {
    std::ifstream file(path_ / name, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  }
  void Write(const std::string& name, const std::string& bytes) const {
    std::ofstream(path_ / name, std::ios::binary) << bytes;
  }
  std::set<std::string> FileNames() const {
    std::set<std::string> names;
    for (const auto& file : fs::directory_iterator(path_)) names.insert(file.path().filename().string());
    return names;
  }

 private:
  const fs::path path_;
};

class FixedClock : public net::Clock {
 public:
  net::Seconds Now() const override { return 50; }
  std::int64_t WallMicros() const override { return 1'700'000'000'000'000; }
};

JournalEntry Request(const std::string& id) {
  JournalEntry entry;
  entry.id = id;
  entry.request_class = "order";
  entry.tenant = "nord";
  entry.key = "k1";
  entry.body = "body";
  entry.destination = 7;
  entry.deadline = 5'000'000;
  return entry;
}

// Accepted "a" with two attempts, the first not executed; "b", ended; "c", ended with a notification.
const char* const kJournalHex =
    "490000008534685f5401000000000000006105000000000000006f7264657204000000000000006e6f72640200000000"
    "0000006b310400000000000000626f64790700000000000000404b4c0000000000"
    "2a00000082f601144101000000000000006102000000000000006531060000000000000067726f756e64110000000000"
    "0000"
    "29000000e73cbe1741010000000000000061020000000000000065320500000000000000666972737412000000000000"
    "00"
    "1200000000f305084e0100000000000000610000000000000000"
    "490000007b4446155401000000000000006205000000000000006f7264657204000000000000006e6f72640200000000"
    "0000006b310400000000000000626f64790700000000000000404b4c0000000000"
    "0a000000a5b0de2f45010000000000000062"
    "49000000ee69739a5401000000000000006305000000000000006f7264657204000000000000006e6f72640200000000"
    "0000006b310400000000000000626f64790700000000000000404b4c0000000000"
    "18000000461253025701000000000000006306000000000000006e6f74696365";
// The same journal after a compaction, or after another process adopted its entries: unfinished requests
// only.
const char* const kCompactedJournalHex =
    "490000008534685f5401000000000000006105000000000000006f7264657204000000000000006e6f72640200000000"
    "0000006b310400000000000000626f64790700000000000000404b4c0000000000"
    "2a00000082f601144101000000000000006102000000000000006531060000000000000067726f756e64110000000000"
    "0000"
    "1200000000f305084e0100000000000000610000000000000000"
    "29000000e73cbe1741010000000000000061020000000000000065320500000000000000666972737412000000000000"
    "00"
    "3a000000a2629ef054010000000000000063000000000000000000000000000000000000000000000000000000000000"
    "000000000000000000000000000000000000"
    "18000000461253025701000000000000006306000000000000006e6f74696365";

void CheckJournalEntries(const Journal& journal) {
  CHECK(journal.lost_bytes() == 0);
  REQUIRE(journal.entries().size() == 2);
  const JournalEntry& first = journal.entries().begin()->second;
  CHECK(first.id == "a");
  CHECK(first.request_class == "order");
  CHECK(first.tenant == "nord");
  CHECK(first.key == "k1");
  CHECK(first.body == "body");
  CHECK(first.destination == 7);
  CHECK(first.deadline == 5'000'000);
  REQUIRE(first.attempts.size() == 2);
  CHECK(first.attempts[0].endpoint == "e1");
  CHECK(first.attempts[0].zone == "ground");
  CHECK(first.attempts[0].sent_at == 17);
  CHECK_FALSE(first.attempts[0].may_have_run);
  CHECK(first.attempts[1].may_have_run);
  const JournalEntry& second = std::next(journal.entries().begin())->second;
  CHECK(second.id == "c");
  CHECK(second.notification == "notice");
}

// Of an endpoint that SRV named first. Versions without the last field, the number 1, ignore it.
TEST_CASE("state files: an attempt whose zone is confirmed") {
  const JournalAttempt confirmed{"srv/h/a", "z", 17, true, true};
  const JournalAttempt assumed{"srv/h/a", "z", 17, true, false};
  const std::string record = journal_record::EncodeAttempt("a", confirmed);
  CHECK(ToHex(record) == "410100000000000000610700000000000000" + ToHex("srv/h/a") +
                             "01000000000000007a11000000000000000100000000000000");
  CHECK(record.size() + net::kFrameHeaderSize == journal_record::FrameBytesOfAttempt("a", confirmed));
  CHECK(record.substr(0, record.size() - 8) == journal_record::EncodeAttempt("a", assumed));
  for (const JournalAttempt& attempt : {confirmed, assumed}) {
    const auto decoded = journal_record::Decode(journal_record::EncodeAttempt("a", attempt));
    REQUIRE(decoded.has_value());
    CHECK(std::get<journal_record::Attempt>(*decoded).attempt.zone_confirmed == attempt.zone_confirmed);
  }
}

TEST_CASE("state files: the journal") {
  const StateFolder folder;
  {
    Journal journal(folder.path(), kDiskBytes);
    REQUIRE(journal.RecordAccepted(Request("a")));
    REQUIRE(journal.RecordAttempt("a", {"e1", "ground", 17, true}));
    REQUIRE(journal.RecordAttempt("a", {"e2", "first", 18, true}));
    REQUIRE(journal.RecordNotExecuted("a", 0));
    REQUIRE(journal.RecordAccepted(Request("b")));
    REQUIRE(journal.RecordEnd("b"));
    REQUIRE(journal.RecordAccepted(Request("c")));
    REQUIRE(journal.RecordEndWithNotification("c", "notice"));
  }
  CHECK(ToHex(folder.Read("journal")) == kJournalHex);
  {
    Journal adopting(folder.path(), kDiskBytes, "journal.1");
    Journal previous(folder.path(), kDiskBytes);
    REQUIRE(adopting.AdoptEntriesOf(previous).size() == 2);
  }
  CHECK(ToHex(folder.Read("journal.1")) == kCompactedJournalHex);
  CHECK(folder.Read("journal").empty());
  for (const char* hex : {kJournalHex, kCompactedJournalHex}) {
    folder.Write("journal", FromHex(hex));
    CheckJournalEntries(Journal(folder.path(), kDiskBytes));
  }
}

const char* const kSharedRetryAfterHex =
    "0400000000000000"
    "0700000000000000b80b00000000000000000000f4334172"
    "f7ffffffffffffffa00f00000000000098badcfe58328f71";

TEST_CASE("state files: shared Retry-After times and process locks") {
  const StateFolder folder;
  const hot_restart::ProcessLock lock(folder.path(), true);
  {
    hot_restart::SharedRetryAfterTable table(folder.path(), lock.own_slot(), lock.other_slot(), 2);
    table.Publish({7, 0, 1000});
    table.Publish({8, 0x1234, 2000});
    table.Publish({7, 0, 3000});
    table.Publish({-9, 0xfedcba98, 4000});  // replaces the entry that ends first
  }
  CHECK(ToHex(folder.Read("waits.0")) == kSharedRetryAfterHex);
  CHECK(folder.FileNames() == std::set<std::string>{"seat.0", "seat.1", "waits.0", "waits.1"});
  folder.Write("waits.1", FromHex(kSharedRetryAfterHex));
  folder.Write("waits.0", "");
  hot_restart::SharedRetryAfterTable table(folder.path(), 0, 1, 2);
  const auto active = table.Active(3000);
  REQUIRE(active.size() == 1);
  CHECK(active[0].destination == -9);
  CHECK(active[0].name_hash == 0xfedcba98);
  CHECK(active[0].until == 4000);
  CHECK(table.Active(0).size() == 2);
}

TEST_CASE("state files: suspended endpoints") {
  const StateFolder folder;
  {
    admin::SuspendedEndpoints suspended(folder.path(), 1024);
    for (const char* id : {"s-2", "s-1", "s-3"}) REQUIRE(suspended.SetSuspended(id, true));
    REQUIRE(suspended.SetSuspended("s-3", false));
  }
  CHECK(folder.Read("bans") == "s-1\ns-2\n");
  CHECK(folder.FileNames() == std::set<std::string>{"bans", "bans.lock"});
  CHECK(admin::SuspendedEndpoints(folder.path(), 1024).ids() == std::set<std::string>{"s-1", "s-2"});
}

const char* const kClockHead = "4c000000c465f33a";
const char* const kClockRecord =
    R"({"boot":"boot-1","monotonic":50000000,"offset":1699999950000000,"version":1})";

TEST_CASE("state files: the clock") {
  const StateFolder folder;
  const FixedClock clock;
  REQUIRE(PersistentClock(clock, folder.path(), "boot-1").Persist());
  CHECK(ToHex(folder.Read("clock")) == kClockHead + ToHex(kClockRecord));
  CHECK(folder.FileNames() == std::set<std::string>{"clock"});
  folder.Write("clock", FromHex(kClockHead) + kClockRecord);
  CHECK(PersistentClock(clock, folder.path(), "boot-1").resumed());
}

const char* const kMembershipHead = "e100000037b09d08";
const char* const kMembershipRecord =
    R"({"at":5000000,"life":9,"relay":"relay-1","version":1)"
    R"(,"zones":{"first":{"age":0.25,"relapses":0,"round":0,"step":3},"ground":{"age":1.5,"order":{"by":1,"left":600.0,"number":4,"what":"leave"},"relapses":2,"round":3,"step":1}}})";

TEST_CASE("state files: membership") {
  using zone_failover::EvacuationPhase;
  using zone_failover::OverrideKind;
  const StateFolder folder;
  const MembershipFile file(folder.path());
  zone_failover::ZoneFailover::SavedState saved;
  saved.states = {{3, EvacuationPhase::kEvacuated, 2, 1.5}, {0, EvacuationPhase::kInService, 0, 0.25}};
  saved.overrides = {{4, 1, OverrideKind::kEvacuate, 600}, {}};
  REQUIRE(file.Save("relay-1", {"ground", "first"}, 5'000'000, 9, saved));
  CHECK(ToHex(folder.Read("tier")) == kMembershipHead + ToHex(kMembershipRecord));
  CHECK(folder.FileNames() == std::set<std::string>{"tier"});
  folder.Write("tier", FromHex(kMembershipHead) + kMembershipRecord);
  const MembershipFile::Saved loaded = file.Load("relay-1", {"first", "ground"}, 6'000'000, 10);
  CHECK(loaded.load_result == "whole");
  CHECK(loaded.incarnation == 9);
  REQUIRE(loaded.zones.states.size() == 2);
  CHECK(loaded.zones.states[1].round == 3);
  CHECK(loaded.zones.states[1].phase == EvacuationPhase::kEvacuated);
  CHECK(loaded.zones.states[1].relapses == 2);
  CHECK(loaded.zones.states[1].since == 2.5);
  REQUIRE(loaded.zones.overrides.size() == 2);
  CHECK(loaded.zones.overrides[1].sequence == 4);
  CHECK(loaded.zones.overrides[1].kind == OverrideKind::kEvacuate);
  CHECK(loaded.zones.overrides[1].expires_at == 599);
  CHECK(loaded.zones.overrides[0].sequence == 0);
}

}  // namespace
}  // namespace opalroute
