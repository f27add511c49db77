#include "relay/request_recovery.h"

#include <algorithm>
#include <filesystem>
#include <system_error>
#include <utility>

#include "discovery/srv_target.h"
#include "hot_restart/route_health_file.h"
#include "journal/durable_file.h"
#include "journal/ended_requests.h"
#include "log/log.h"
#include "relay/membership_file.h"

namespace opalroute {
namespace {

constexpr double kMicrosPerSecond = 1e6;

// An attempt dated in the future was recorded before a reboot, while the wall clock was ahead. Its age is
// unknown, so its deduplication window must count as over.
Seconds AgeOf(const JournalAttempt& attempt, std::int64_t now) {
  constexpr Seconds kUnknownAge = 1e9;
  if (attempt.sent_at > now) return kUnknownAge;
  return static_cast<double>(now - attempt.sent_at) / kMicrosPerSecond;
}

}  // namespace

std::string JournalName(int process_slot) {
  return process_slot == 0 ? "journal" : "journal." + std::to_string(process_slot);
}

std::size_t JournalBudget(const Config& config, const OperatorSettings& settings) {
  const std::size_t snapshot =
      settings.state_transfer.use_state_folder ? config.limits.snapshot_file_bytes : 0;
  const std::size_t membership = settings.fleet.enabled() ? MembershipFile::kMaxDiskBytes : 0;
  const std::size_t suspended = 2 * config.limits.suspended_file_bytes;  // the file and its replacement
  const std::size_t route_healths =
      hot_restart::kProcessSlots *
      (config.limits.saved_route_healths * hot_restart::RouteHealthFile::kRecordBytes + kDiskBlockBytes);
  const bool two_processes = config.inherited_fd >= 0;
  const std::size_t ended_requests =
      (two_processes ? hot_restart::kProcessSlots : 1) *
      (config.limits.remembered_requests * EndedRequests::kRecordBytes + kDiskBlockBytes);
  const std::size_t other_files =
      snapshot + membership + PersistentClock::kMaxDiskBytes + suspended + route_healths + ended_requests;
  const std::size_t disk = config.limits.disk_bytes;
  const std::size_t rest = disk - std::min(disk / 2, other_files);
  return two_processes ? rest / hot_restart::kProcessSlots : rest;
}

const char* RequestRecovery::NameOf(Cause cause) {
  switch (cause) {
    case Cause::kRestart:
      return "restart";
    case Cause::kHotRestart:
      return "hot_restart";
    case Cause::kDoubt:
      return "doubt";
  }
  return "unknown";
}

RequestRecovery::RequestRecovery(const Dependencies& dependencies, std::size_t other_journal_budget)
    : dependencies_(dependencies),
      other_journal_budget_(other_journal_budget),
      taken_up_lines_(dependencies.config.limits.request_log_lines) {}

void RequestRecovery::RecoverAll() {
  // An earlier process may have ended before it had adopted the whole journal.
  AdoptOtherJournal();
  const std::size_t lost_bytes = dependencies_.journal.lost_bytes();
  if (lost_bytes > 0) log::Warn("journal_truncated", {{"lost_bytes", lost_bytes}});
  // A copy, since recovering an entry may write to the journal and change its entries.
  const auto entries = dependencies_.journal.entries();
  for (const auto& [number, entry] : entries) Recover(entry, Cause::kRestart);
  dependencies_.counters.recovered = static_cast<long>(entries.size());
  if (!entries.empty()) log::Info("requests_recovered", {{"requests", entries.size()}});
}

void RequestRecovery::RecoverFromOtherProcess() {
  const std::vector<std::uint64_t> adopted = AdoptOtherJournal();
  std::vector<JournalEntry> entries;
  entries.reserve(adopted.size());
  for (const std::uint64_t number : adopted) entries.push_back(dependencies_.journal.entries().at(number));
  for (const JournalEntry& entry : entries) Recover(entry, Cause::kHotRestart);
  if (!adopted.empty()) log::Info("requests_taken_over", {{"requests", adopted.size()}});
}

RequestId RequestRecovery::Reopen(const std::string& client_id) {
  const JournalEntry* entry = dependencies_.journal.FindEntry(client_id);
  if (entry == nullptr) return 0;
  ++dependencies_.counters.reopened;
  return Recover(JournalEntry(*entry),
                 Cause::kDoubt);  // a copy, since recovering it may write to the journal
}

// Moves the entries of the other journal to the own one and returns their numbers there. A process that
// starts while the other slot is locked for this finds no free slot, so the slot is locked only if the other
// journal is not empty.
std::vector<std::uint64_t> RequestRecovery::AdoptOtherJournal() {
  std::vector<std::uint64_t> adopted;
  const std::string file = JournalName(dependencies_.process_lock.other_slot());
  std::error_code error;
  const auto bytes = std::filesystem::file_size(dependencies_.config.state_folder + "/" + file, error);
  if (error || bytes == 0) return adopted;
  dependencies_.process_lock.TryRunWithOtherSlotLocked([&] {
    Journal other(dependencies_.config.state_folder, other_journal_budget_, file);
    adopted = dependencies_.journal.AdoptEntriesOf(other);
    dependencies_.requests.ReadEndedOfOtherProcess();
  });
  return adopted;
}

RequestId RequestRecovery::Recover(const JournalEntry& entry, Cause cause) {
  LogTakenUp(entry, cause);
  if (!entry.notification.empty()) {
    dependencies_.notifier.Add(entry.id, entry.notification);
    return 0;
  }
  const std::int64_t now = dependencies_.clock.Micros();
  RecoveredRequest recovered;
  recovered.request = ToNewRequest(entry, now);
  recovered.response_was_doubted = cause == Cause::kDoubt;
  for (const JournalAttempt& attempt : entry.attempts) {
    recovered.attempts.push_back(ToEarlierAttempt(attempt, now));
  }
  const RequestId request_id = recovered.request.request_id;
  // The class is no longer in the settings, so it is unknown whether the request may be sent again.
  if (recovered.request.request_class < 0) {
    dependencies_.ending.Fail(request_id);
  } else {
    dependencies_.decisions.Post(std::move(recovered));
  }
  return request_id;
}

void RequestRecovery::LogTakenUp(const JournalEntry& entry, Cause cause) {
  constexpr std::int64_t kMicrosPerWholeSecond = 1'000'000;
  if (!taken_up_lines_.MayLog(dependencies_.clock.Micros() / kMicrosPerWholeSecond)) return;
  const auto may_have_run = std::count_if(entry.attempts.begin(), entry.attempts.end(),
                                          [](const JournalAttempt& attempt) { return attempt.may_have_run; });
  log::Info("request_taken_up", {{"id", entry.id},
                                 {"why", NameOf(cause)},
                                 {"attempts", entry.attempts.size()},
                                 {"may_have_run", may_have_run},
                                 {"only_notified", !entry.notification.empty()},
                                 {"suppressed", taken_up_lines_.TakeSuppressed()}});
}

NewRequest RequestRecovery::ToNewRequest(const JournalEntry& entry, std::int64_t now) {
  NewRequest request;
  request.request_class = IndexOf(dependencies_.config.classes, entry.request_class);
  request.destination = entry.destination;
  const int tenant = IndexOf(dependencies_.config.tenants, entry.tenant);
  if (tenant >= 0) request.tenant = tenant;
  request.remaining_time = std::clamp(static_cast<double>(entry.deadline - now) / kMicrosPerSecond, 0.0,
                                      dependencies_.config.limits.max_remaining_time);
  request.request_id = dependencies_.requests.Recover(entry, request.remaining_time);
  return request;
}

EarlierAttempt RequestRecovery::ToEarlierAttempt(const JournalAttempt& attempt, std::int64_t now) {
  // A process of an earlier version has recorded an assumed zone for an endpoint that only SRV named.
  const bool zone_is_known = attempt.zone_confirmed || !IsSrvEndpointId(attempt.endpoint);
  EarlierAttempt earlier;
  earlier.endpoint = dependencies_.endpoints.Intern(attempt.endpoint);
  if (zone_is_known) earlier.zone = ZoneNamed(dependencies_.config, attempt.zone);
  earlier.age = AgeOf(attempt, now);
  earlier.may_have_run = attempt.may_have_run;
  return earlier;
}

}  // namespace opalroute
