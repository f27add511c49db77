#include "relay/request_recovery.h"

#include <algorithm>
#include <filesystem>
#include <system_error>
#include <utility>

#include "log/log.h"
#include "relay/membership_file.h"

namespace opalroute {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

// An attempt from the future was recorded before a boot, by a wall clock that was ahead. It may be of any
// age, and no deduplication window may be taken to be open still.
Seconds AgeOf(const JournalAttempt& attempt, std::int64_t now) {
  constexpr Seconds kUnknownAge = 1e9;
  if (attempt.sent_at > now) return kUnknownAge;
  return static_cast<double>(now - attempt.sent_at) / kMicrosecondsPerSecond;
}

}  // namespace

std::string JournalName(int process_slot) {
  return process_slot == 0 ? "journal" : "journal." + std::to_string(process_slot);
}

std::size_t JournalBudget(const Config& config, const Operator& settings) {
  const std::size_t snapshot = settings.learn.state ? config.limits.learn_file_bytes : 0;
  const std::size_t membership = settings.tier.on() ? MembershipFile::kMostBytes : 0;
  const std::size_t suspended = 2 * config.limits.ban_bytes;  // a file, and the one that replaces it
  const std::size_t other_files = snapshot + membership + PersistentClock::kMostBytes + suspended;
  const std::size_t disk = config.limits.disk_bytes;
  const std::size_t rest = disk - std::min(disk / 2, other_files);
  const bool two_processes = config.inherited_fd >= 0;
  return two_processes ? rest / hot_restart::kProcessSlots : rest;
}

RequestRecovery::RequestRecovery(const Parts& parts, std::size_t other_journal_budget)
    : parts_(parts), other_journal_budget_(other_journal_budget) {}

void RequestRecovery::RecoverAll() {
  // An earlier process may have ended while it took requests over.
  AdoptOtherJournal();
  const std::size_t lost_bytes = parts_.journal.lost_bytes();
  if (lost_bytes > 0) log::Warn("journal_truncated", {{"lost_bytes", lost_bytes}});
  // A copy: what is done for one entry may write to the journal and change its table.
  const auto entries = parts_.journal.entries();
  for (const auto& [number, entry] : entries) Recover(entry);
  parts_.counters.restored = static_cast<long>(entries.size());
  if (!entries.empty()) log::Info("requests_recovered", {{"requests", entries.size()}});
}

void RequestRecovery::RecoverFromOtherProcess() {
  const std::vector<std::uint64_t> adopted = AdoptOtherJournal();
  std::vector<JournalEntry> entries;
  entries.reserve(adopted.size());
  for (const std::uint64_t number : adopted) entries.push_back(parts_.journal.entries().at(number));
  for (const JournalEntry& entry : entries) Recover(entry);
  if (!adopted.empty()) log::Info("requests_taken_over", {{"requests", adopted.size()}});
}

// Returns the numbers of the entries in the own journal. A process that starts while the other slot is locked
// for this finds no free slot, so it is locked only where something was left.
std::vector<std::uint64_t> RequestRecovery::AdoptOtherJournal() {
  std::vector<std::uint64_t> adopted;
  const std::string file = JournalName(parts_.process_lock.other());
  std::error_code error;
  const auto bytes = std::filesystem::file_size(parts_.config.state_folder + "/" + file, error);
  if (error || bytes == 0) return adopted;
  parts_.process_lock.TryRunWithOtherSlot([&] {
    Journal other(parts_.config.state_folder, other_journal_budget_, file);
    adopted = parts_.journal.AdoptEntriesOf(other);
  });
  return adopted;
}

void RequestRecovery::Recover(const JournalEntry& entry) {
  if (!entry.notification.empty()) {
    parts_.notifier.Add(entry.id, entry.notification);
    return;
  }
  const std::int64_t now = parts_.clock.Micros();
  RecoveredRequest recovered;
  recovered.request = RequestOf(entry, now);
  for (const JournalAttempt& attempt : entry.attempts) {
    recovered.attempts.push_back(AttemptOf(attempt, now));
  }
  // Of a class that the settings no longer have nobody knows what it allows.
  if (recovered.request.request_class < 0) {
    parts_.ending.Fail(recovered.request.request_id);
    return;
  }
  parts_.decisions.Post(std::move(recovered));
}

NewRequest RequestRecovery::RequestOf(const JournalEntry& entry, std::int64_t now) {
  NewRequest request;
  request.request_class = IndexOf(parts_.config.classes, entry.request_class);
  request.destination = entry.destination;
  const int tenant = IndexOf(parts_.config.tenants, entry.tenant);
  if (tenant >= 0) request.tenant = tenant;
  request.remaining_time = std::clamp(static_cast<double>(entry.deadline - now) / kMicrosecondsPerSecond, 0.0,
                                      parts_.config.limits.longest_remaining);
  request.request_id = parts_.requests.Recover(entry, request.remaining_time);
  return request;
}

EarlierAttempt RequestRecovery::AttemptOf(const JournalAttempt& attempt, std::int64_t now) {
  // A zone that the settings no longer have must not read as none: it binds a request to no endpoint.
  const int unknown_zone = static_cast<int>(parts_.config.zones.size());
  const int zone = IndexOf(parts_.config.zones, attempt.zone);
  EarlierAttempt earlier;
  earlier.endpoint = parts_.endpoints.Intern(attempt.endpoint);
  earlier.zone = zone >= 0 ? zone : unknown_zone;
  earlier.age = AgeOf(attempt, now);
  earlier.may_have_run = attempt.may_have_run;
  return earlier;
}

}  // namespace opalroute
