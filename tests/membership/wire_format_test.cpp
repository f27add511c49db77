// Compares encoded messages with fixed bytes. A fleet may run two builds at the same time, so an encoder that
// changes the bytes of a message breaks their communication.
#include <doctest/doctest.h>

#include <cstdio>

#include "tests/zone_failover/simulated_calls.h"

namespace opalroute {
namespace {

using membership::MessageKind;
using membership::PeerReport;

std::string Hex(const std::string& bytes) {
  std::string text;
  for (const char byte : bytes) {
    char digits[3];
    std::snprintf(digits, sizeof digits, "%02x", static_cast<unsigned char>(byte));
    text += digits;
  }
  return text;
}

membership::Message MessageOf(MessageKind kind) {
  membership::Message message;
  message.kind = kind;
  message.incarnation = 1'764'000'000'000'000;
  message.sequence = 300;
  return message;
}

TEST_CASE("membership: the encoding of each kind of message is stable across builds") {
  CHECK(Hex(EncodeMessage(MessageOf(MessageKind::kPing), 256)) == "4601718080898b948b9103ac02000000");
  CHECK(Hex(EncodeMessage(MessageOf(MessageKind::kJoin), 256)) == "4601688080898b948b9103ac02000000");
  CHECK(Hex(EncodeMessage(MessageOf(MessageKind::kGossip), 256)) == "4601748080898b948b9103ac02000000");
  CHECK(Hex(EncodeMessage(MessageOf(MessageKind::kLeave), 256)) == "46016c8080898b948b9103ac02000000");
  membership::Message ack = MessageOf(MessageKind::kAck);
  ack.acked_sequence = 77;
  ack.first_peer = 130;
  ack.zone_payload = "zones";
  ack.peer_reports = {{PeerReport::Kind::kNone, 0},          {PeerReport::Kind::kAlive, 0},
                      {PeerReport::Kind::kAlive, 6.9},       {PeerReport::Kind::kAlive, 13},
                      {PeerReport::Kind::kUnreachable, 0.2}, {PeerReport::Kind::kUnreachable, 12}};
  CHECK(Hex(EncodeMessage(ack, 256)) == "4601618080898b948b9103ac024d8201062014803e057a6f6e6573");
  CHECK(Hex(EncodeMessage(ack, 28)) == "4601618080898b948b9103ac024d8201032014057a6f6e6573");
}

TEST_CASE(
    "zone failover: the encoding of gossip with states, a report and overrides is stable across builds") {
  zone_failover::ZoneGossip gossip;
  gossip.states = {{300, zone_failover::EvacuationPhase::kRecovering, 3, 12.34},
                   {0, zone_failover::EvacuationPhase::kInService, 40, 1e9}};
  CHECK(Hex(EncodeZoneGossip(gossip)) == "02ac020e7b007fc0843d00");
  zone_failover::ZoneReport report;
  report.succeeded = 0x80000001;
  report.failed = 6;
  report.observed = 0x8000000f;
  report.failure_age = 0.37;
  report.fault = zone_failover::FaultKind::kTimeout;
  gossip.report = zone_failover::Report{report, {}};
  gossip.overrides = {{}, {300, 299, zone_failover::OverrideKind::kKeepInService, 12.34}};
  CHECK(Hex(EncodeZoneGossip(gossip)) ==
        "02ac020e7b007fc0843d0301000080060000000f0000801e03040000000000000000000000001e1e0000ac02ab02027c");
}

// An FNV-1a hash.
class Digest {
 public:
  void Add(const std::string& bytes) {
    for (const char byte : bytes) value_ = (value_ ^ static_cast<unsigned char>(byte)) * 0x100000001b3ULL;
  }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0xcbf29ce484222325ULL;
};

TEST_CASE(
    "zone failover: the datagrams of a run with an outage, packet loss, a restart and an override are stable "
    "across builds") {
  lab::LinkSettings links;
  links.loss = 0.2;
  SimulatedFleet fleet(FailoverOptionsFor(12), links, 31);
  Digest digest;
  fleet.rewrite = [&](int from, const std::string& bytes) {
    digest.Add(std::to_string(std::lround(fleet.now * 1000)) + ' ' + std::to_string(from) + ' ' + bytes);
    return bytes;
  };
  SimulatedCalls calls(fleet, 8, [&](int, int, int zone) {
    return zone == 1 && fleet.now >= 104 && fleet.now < 109 ? FailedCall(Outcome::kReset) : CallResult{};
  });
  fleet.StartAll();
  calls.RunUntil(105);
  fleet.Kill(3);
  calls.RunUntil(107);
  fleet.Start(3);
  fleet.Leave(9);
  calls.RunUntil(110);
  fleet.IssueOverride(5, 2, zone_failover::OverrideKind::kEvacuate, 3);
  calls.RunUntil(118);
  CHECK(digest.value() == 3513755929172168152ULL);
  CHECK(fleet.datagrams_sent == 1748);
}

}  // namespace
}  // namespace opalroute
