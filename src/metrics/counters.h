// What the relay has taken in, sent and answered since its start.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace opalroute {

struct Counters {
  long requests = 0, taken_on = 0, restored = 0;
  long bad_requests = 0, rejects_full = 0, rejects_disk = 0, rejects_stopping = 0, withdrawn = 0;
  long calls = 0, attempts = 0, probes = 0, not_left = 0;
  long served = 0, errors = 0, full = 0, timeouts = 0, connect_failed = 0, resets = 0, cancelled = 0,
       not_sent = 0, crowded = 0;
  long delivered = 0, given_up = 0, handed_back = 0, notices_arrived = 0;
  long pool_news = 0, pool_failures = 0, journal_failures = 0, reloads = 0, reload_failures = 0;
  long endpoints = 0;       // known now
  long upstream_tries = 0;  // messages written whole to endpoints

  struct OfClass {
    long passed = 0, dropped = 0, bad_gateway = 0;  // delivered; refused or handed back; failed
  };
  std::vector<OfClass> classes;  // in the settings' order

  void Passed(int message_class) { ++delivered, ++Of(message_class).passed; }
  OfClass& Of(int message_class) {
    const bool known = message_class >= 0 && message_class < static_cast<int>(classes.size());
    return known ? classes[static_cast<std::size_t>(message_class)] : of_none_;
  }

  nlohmann::ordered_json ToJson() const {
    return {{"requests", requests},
            {"taken_on", taken_on},
            {"restored", restored},
            {"bad_requests", bad_requests},
            {"rejects_full", rejects_full},
            {"rejects_disk", rejects_disk},
            {"rejects_stopping", rejects_stopping},
            {"withdrawn", withdrawn},
            {"calls", calls},
            {"attempts", attempts},
            {"probes", probes},
            {"not_left", not_left},
            {"served", served},
            {"errors", errors},
            {"full", full},
            {"timeouts", timeouts},
            {"connect_failed", connect_failed},
            {"resets", resets},
            {"cancelled", cancelled},
            {"not_sent", not_sent},
            {"crowded", crowded},
            {"delivered", delivered},
            {"given_up", given_up},
            {"handed_back", handed_back},
            {"notices_arrived", notices_arrived},
            {"pool_news", pool_news},
            {"pool_failures", pool_failures},
            {"journal_failures", journal_failures},
            {"reloads", reloads},
            {"reload_failures", reload_failures},
            {"endpoints", endpoints}};
  }
  std::string Print() const { return ToJson().dump(); }

 private:
  OfClass of_none_;  // of a class that the settings have lost
};

}  // namespace opalroute
