// Checks that the encodings of messages between relays are those of an earlier build. Each line of
// codec_bytes.txt has the name of a case, the decoded message as text, and the bytes in hexadecimal. The
// encoders must produce these bytes, and the decoders must read this message from them.
//   opalroute_codec_bytes FILE compares; without FILE it prints the lines of this build.
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "decision/route_gossip.h"
#include "membership/message.h"
#include "net/framing.h"
#include "state_transfer/codec.h"
#include "zone_failover/zone_gossip.h"

namespace {

using namespace opalroute;
using Describe = std::string (*)(std::string_view bytes);

struct Case {
  std::string name, bytes;
  Describe describe;  // decodes the bytes and returns the message as text
};

std::string Hex(std::string_view bytes) {
  std::string text;
  char pair[3];
  for (const char c : bytes) {
    std::snprintf(pair, sizeof(pair), "%02x", static_cast<unsigned char>(c));
    text += pair;
  }
  return text;
}

std::string Unhex(const std::string& text) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2)
    bytes += static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16));
  return bytes;
}

constexpr const char* kUnreadable = "unreadable";

// ---- membership messages ----

std::string DescribeMembership(std::string_view bytes) {
  const auto message = membership::DecodeMessage(bytes);
  if (!message) return kUnreadable;
  std::ostringstream text;
  text << "kind " << static_cast<char>(message->kind) << " incarnation " << message->incarnation
       << " sequence " << message->sequence << " acked " << message->acked_sequence << " from peer "
       << message->first_peer << ":";
  for (const membership::PeerReport& report : message->peer_reports)
    text << ' ' << "-au"[static_cast<int>(report.kind)] << report.age;
  text << " zones " << Hex(message->zone_payload);
  return text.str();
}

std::vector<Case> MembershipCases() {
  using Kind = membership::PeerReport::Kind;
  membership::Message message{membership::MessageKind::kPing, 1'700'000'000'123'456, 1, 0, 0, {}, ""};
  std::vector<Case> cases = {
      {"membership ping, empty", membership::EncodeMessage(message, 256), DescribeMembership}};
  message.first_peer = 299;
  message.sequence = 128;
  message.acked_sequence = 77;
  message.zone_payload = std::string("\x00\x01\xff", 3);
  message.peer_reports = {{Kind::kNone, 0},         {Kind::kAlive, 0},       {Kind::kAlive, 0.1},
                          {Kind::kAlive, 6},        {Kind::kAlive, 12},      {Kind::kAlive, 12.1},
                          {Kind::kUnreachable, 0},  {Kind::kUnreachable, 3}, {Kind::kUnreachable, 11.9},
                          {Kind::kUnreachable, 12}, {Kind::kUnreachable, 13}};
  const std::pair<membership::MessageKind, const char*> kinds[] = {
      {membership::MessageKind::kPing, "ping"},
      {membership::MessageKind::kJoin, "join"},
      {membership::MessageKind::kAck, "ack"},
      {membership::MessageKind::kGossip, "gossip"},
      {membership::MessageKind::kLeave, "leave"}};
  for (const auto& [kind, name] : kinds) {
    message.kind = kind;
    cases.push_back(
        {std::string("membership ") + name, membership::EncodeMessage(message, 256), DescribeMembership});
  }
  message.peer_reports.assign(500, {Kind::kAlive, 2});
  cases.push_back(
      {"membership, truncated window", membership::EncodeMessage(message, 40), DescribeMembership});
  cases.push_back(
      {"membership, trailing byte", membership::EncodeMessage(message, 40) + "x", DescribeMembership});
  std::string other_version = membership::EncodeMessage(message, 40);
  other_version[1] = 2;
  cases.push_back({"membership, unknown version", other_version, DescribeMembership});
  return cases;
}

// ---- zone gossip ----

std::string DescribeZoneGossip(std::string_view bytes) {
  const auto gossip = zone_failover::DecodeZoneGossip(bytes);
  if (!gossip) return kUnreadable;
  std::ostringstream text;
  for (const zone_failover::EvacuationState& s : gossip->states) {
    text << "evacuation " << s.round << '/' << static_cast<int>(s.phase) << " relapses " << s.relapses
         << " age " << s.since << "; ";
  }
  if (gossip->report) {
    for (const zone_failover::ZoneReport& r : *gossip->report) {
      text << "report " << r.succeeded << '@' << r.success_age << ' ' << r.failed << '@' << r.failure_age
           << " of " << r.observed << " fault " << static_cast<int>(r.fault) << "; ";
    }
  }
  for (const zone_failover::OperatorOverride& o : gossip->overrides) {
    text << "override " << o.sequence << " by " << o.issued_by << " kind " << static_cast<int>(o.kind)
         << " left " << o.expires_at << "; ";
  }
  return text.str();
}

std::vector<Case> ZoneGossipCases() {
  zone_failover::ZoneGossip gossip;
  std::vector<Case> cases = {
      {"zone gossip, empty", zone_failover::EncodeZoneGossip(gossip), DescribeZoneGossip}};
  gossip.states = {{0, zone_failover::EvacuationPhase::kInService, 0, 0},
                   {1, zone_failover::EvacuationPhase::kEvacuating, 0, 0.25},
                   {200, zone_failover::EvacuationPhase::kEvacuated, 3, 12.34},
                   {1ULL << 40, zone_failover::EvacuationPhase::kRecovering, 40, 1e7}};
  cases.push_back(
      {"zone gossip, evacuation states", zone_failover::EncodeZoneGossip(gossip), DescribeZoneGossip});
  zone_failover::ZoneGossip reported = gossip;
  reported.report = zone_failover::Report{};
  for (std::uint32_t i = 0; i < 4; ++i) {
    zone_failover::ZoneReport r;
    r.succeeded = 0x01020304U * i;
    r.failed = 0x80000000U >> i;
    r.observed = r.succeeded | r.failed;
    r.success_age = 0.4 * i;
    r.failure_age = 1.15 * i;
    r.fault = static_cast<decltype(r.fault)>(i + 2);
    reported.report->push_back(r);
  }
  cases.push_back({"zone gossip, report", zone_failover::EncodeZoneGossip(reported), DescribeZoneGossip});
  gossip.overrides = {
      {0, 0, zone_failover::OverrideKind::kNone, 0},
      {1, 0, zone_failover::OverrideKind::kEvacuate, 3600},
      {300, 299, zone_failover::OverrideKind::kKeepInService, 0.01},
      {zone_failover::OperatorOverrides::kMaxSequence, 4096, zone_failover::OverrideKind::kNone, 1e9}};
  cases.push_back(
      {"zone gossip, operator overrides", zone_failover::EncodeZoneGossip(gossip), DescribeZoneGossip});
  reported.overrides = gossip.overrides;
  cases.push_back({"zone gossip, all parts", zone_failover::EncodeZoneGossip(reported), DescribeZoneGossip});
  cases.push_back(
      {"zone gossip, unknown parts", std::string("\x01\x00\x03\x00\x14\x02zz\x01y", 10), DescribeZoneGossip});
  cases.push_back(
      {"zone gossip, truncated", zone_failover::EncodeZoneGossip(gossip).substr(0, 20), DescribeZoneGossip});
  return cases;
}

// ---- route gossip ----

std::string DescribeRouteGossip(std::string_view bytes) {
  const auto message = decision::DecodeRouteGossip(bytes);
  if (!message) return kUnreadable;
  std::ostringstream text;
  text << "kind " << static_cast<char>(message->kind) << " destination " << message->destination << " route "
       << message->name_hash;
  return text.str();
}

std::vector<Case> RouteGossipCases() {
  using Kind = decision::RouteGossip::Kind;
  return {
      {"route gossip, rejected", decision::EncodeRouteGossip({Kind::kRejected, 7, 0}), DescribeRouteGossip},
      {"route gossip, recovered, one endpoint",
       decision::EncodeRouteGossip({Kind::kRecovered, 70'000, decision::HashName("s-5be2a07c")}),
       DescribeRouteGossip},
      {"route gossip, out of connections, negative",
       decision::EncodeRouteGossip({Kind::kOutOfConnections, -70'000, 0xff}), DescribeRouteGossip},
      {"route gossip, greatest values",
       decision::EncodeRouteGossip({Kind::kRecovered, INT64_MAX, 0xffffffffU}), DescribeRouteGossip},
      {"route gossip, least destination", decision::EncodeRouteGossip({Kind::kRecovered, INT64_MIN, 0}),
       DescribeRouteGossip},
      {"route gossip, unknown kind", "Lx\x02", DescribeRouteGossip},
      {"route gossip, truncated", "Lr\x02zz", DescribeRouteGossip}};
}

// ---- state transfer ----

std::string DescribeRoutes(const std::vector<state_transfer::NamedRouteState>& routes) {
  std::ostringstream text;
  text.precision(15);
  for (const state_transfer::NamedRouteState& route : routes) {
    const RouteState& s = route.state;
    const auto age = [&text](const char* name, const std::optional<Seconds>& of) {
      if (of) text << ' ' << name << ' ' << *of;
    };
    text << "; route " << s.destination << " '" << route.endpoint << "' retry_after " << s.retry_after;
    age("failure", s.failure_age);
    age("recovery", s.recovery_age);
    age("success", s.success_age);
    age("rejection", s.rejection_age);
    text << " send_rate " << s.send_rate;
    age("measurement", s.latency_age);
    text << " latency " << s.latency;
    age("hedging_disabled", s.hedging_disabled_age);
  }
  return text.str();
}

std::string DescribeFrame(std::string_view bytes) {
  const net::FrameRead read = net::ReadFrame(bytes, state_transfer::kMaxFrameBytes);
  const auto message = state_transfer::DecodeFrame(read.record);
  if (read.state != net::FrameState::kComplete || read.size != bytes.size() || !message) return kUnreadable;
  std::ostringstream text;
  text.precision(15);
  if (const auto* request = std::get_if<state_transfer::SnapshotRequest>(&*message)) {
    text << "request version " << request->version << " name " << request->name;
  } else if (const auto* header = std::get_if<state_transfer::SnapshotHeader>(&*message)) {
    text << "header version " << header->version << " name " << header->name << " running " << header->uptime
         << " written " << header->written_at;
  } else if (const auto* chunk = std::get_if<state_transfer::SnapshotChunk>(&*message)) {
    text << "chunk since " << chunk->since_header << " out of range " << chunk->out_of_range
         << DescribeRoutes(chunk->routes);
  } else {
    text << "end routes " << std::get<state_transfer::SnapshotEnd>(*message).route_count;
  }
  return text.str();
}

std::string DescribeDatagram(std::string_view bytes) {
  const auto message = state_transfer::DecodeDatagram(bytes);
  if (!message) return kUnreadable;
  std::ostringstream text;
  text << "version " << message->version << " nonce " << message->nonce << " is_request "
       << message->is_request << " out of range " << message->out_of_range << DescribeRoutes(message->routes);
  return text.str();
}

std::vector<state_transfer::NamedRouteState> Routes() {
  state_transfer::NamedRouteState shared;
  state_transfer::NamedRouteState own;
  state_transfer::NamedRouteState invalid;
  shared.state.destination = 7;
  shared.state.retry_after = 28.5;
  own.endpoint = "s-5be2a07c";
  own.state.destination = -70'000;
  own.state.endpoint = 12;  // local to this process; not encoded
  own.state.failure_age = 0;
  own.state.recovery_age = 1.25;
  own.state.success_age = 0.000001;
  own.state.rejection_age = 3600;
  own.state.send_rate = 0.1;
  own.state.latency_age = 59.999999;
  own.state.latency = 0.0421;
  own.state.hedging_disabled_age = 12;
  invalid.state.destination = 1'000'000'007;
  invalid.state.failure_age = 1e6;  // above the maximum age, to which it is clamped
  invalid.state.rejection_age = 2;  // with an invalid send rate, which decoders reject
  invalid.state.send_rate = -1;
  invalid.state.latency = 99;  // not measured
  return {shared, own, invalid};
}

std::vector<Case> StateTransferCases() {
  using state_transfer::EncodeFrame;
  const auto frame = [](const char* name, const state_transfer::Message& message) {
    return Case{std::string("state transfer ") + name, EncodeFrame(message), DescribeFrame};
  };
  std::vector<Case> cases = {
      frame("request", state_transfer::SnapshotRequest{state_transfer::kVersion, "n0"}),
      frame("header", state_transfer::SnapshotHeader{state_transfer::kVersion, "n1", 12.5, 0}),
      frame("header, of a file",
            state_transfer::SnapshotHeader{7, std::string(300, 'x'), 0, 1'700'000'000'123'456}),
      frame("chunk, empty", state_transfer::SnapshotChunk{}),
      frame("chunk", state_transfer::SnapshotChunk{0.125, Routes(), 0}),
      frame("end", state_transfer::SnapshotEnd{50'000})};
  std::string damaged = EncodeFrame(state_transfer::SnapshotEnd{1});
  damaged.back() ^= 1;
  cases.push_back({"state transfer, wrong checksum", damaged, DescribeFrame});
  cases.push_back({"state transfer, unknown field",
                   net::EncodeFrame(std::string("\x22\x04\x08\x05\x10\x01", 6)), DescribeFrame});
  state_transfer::Datagram message;
  message.nonce = 0xfedcba98;
  message.is_request = true;
  cases.push_back(
      {"state transfer datagram, request", state_transfer::EncodeDatagram(message).bytes, DescribeDatagram});
  message.is_request = false;
  message.routes = Routes();
  cases.push_back(
      {"state transfer datagram, response", state_transfer::EncodeDatagram(message).bytes, DescribeDatagram});
  for (int i = 0; i < 5; ++i) message.routes.push_back(message.routes[1]);
  const state_transfer::EncodedDatagram full = state_transfer::EncodeDatagram(message);
  cases.push_back({"state transfer datagram, full with " + std::to_string(full.route_count), full.bytes,
                   DescribeDatagram});
  cases.push_back({"state transfer datagram, unknown magic", "OLN2\x08\x01", DescribeDatagram});
  return cases;
}

int Compare(const std::vector<Case>& cases, std::istream& recorded) {
  std::map<std::string, const Case*> unseen;
  for (const Case& c : cases) unseen[c.name] = &c;
  int mismatches = 0;
  for (std::string line; std::getline(recorded, line);) {
    const std::size_t first = line.find(" | ");
    const std::size_t second = line.rfind(" | ");
    const std::string name = line.substr(0, first);
    const std::string hex = line.substr(second + 3);
    const auto it = unseen.find(name);
    if (it == unseen.end()) {
      std::cout << "no such case: " << name << '\n';
      ++mismatches;
      continue;
    }
    const std::string written = Hex(it->second->bytes);
    const std::string description = it->second->describe(Unhex(hex));
    if (written != hex)
      std::cout << name << ": writes  " << written << "\n  recorded " << hex << '\n', ++mismatches;
    if (first + 3 > second || description != line.substr(first + 3, second - first - 3))
      std::cout << name << ": reads " << description << "\n  recorded " << line << '\n', ++mismatches;
    unseen.erase(it);
  }
  for (const auto& [name, c] : unseen) std::cout << "not recorded: " << name << '\n', ++mismatches;
  return mismatches == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<Case> cases;
  for (const auto& group : {MembershipCases(), ZoneGossipCases(), RouteGossipCases(), StateTransferCases()})
    cases.insert(cases.end(), group.begin(), group.end());
  if (argc > 1) {
    std::ifstream recorded(argv[1]);
    return Compare(cases, recorded);
  }
  for (const Case& c : cases)
    std::cout << c.name << " | " << c.describe(c.bytes) << " | " << Hex(c.bytes) << '\n';
  return 0;
}
