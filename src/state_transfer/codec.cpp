#include "state_transfer/codec.h"

#include <algorithm>
#include <cmath>

#include "net/framing.h"
#include "state_transfer.pb.h"

namespace opalroute::state_transfer {

namespace {

constexpr std::string_view kNoteMark = "OLN1";

std::int64_t Micros(Seconds seconds) {
  return static_cast<std::int64_t>(std::llround(std::clamp(seconds, 0.0, kMaxAge) * 1e6));
}

// Negative, endless or absurd durations are counted and left out.
std::optional<Seconds> InRange(std::int64_t micros, int& out_of_range) {
  if (micros >= 0 && micros <= Micros(kMaxAge)) return static_cast<double>(micros) / 1e6;
  ++out_of_range;
  return std::nullopt;
}

void WriteLane(const NamedRouteState& heard, wire::Lane& lane) {
  const RouteState& b = heard.state;
  lane.set_destination(b.destination);
  lane.set_endpoint(heard.endpoint);
  if (b.retry_after > 0) lane.set_wait_us(Micros(b.retry_after));
  if (b.failure_age) lane.set_out_us(Micros(*b.failure_age));
  if (b.recovery_age) lane.set_back_us(Micros(*b.recovery_age));
  if (b.success_age) lane.set_served_us(Micros(*b.success_age));
  if (b.rejection_age) {
    lane.set_refused_us(Micros(*b.rejection_age));
    lane.set_pace(b.send_rate);
  }
  if (b.latency_age) {
    lane.set_measured_us(Micros(*b.latency_age));
    lane.set_latency_us(Micros(b.latency));
  }
  if (b.hedging_disabled_age) lane.set_barred_us(Micros(*b.hedging_disabled_age));
}

bool ReadLane(const wire::Lane& lane, NamedRouteState& heard, int& out_of_range) {
  if (lane.endpoint().size() > kMaxNameBytes) {
    ++out_of_range;
    return false;
  }
  heard.endpoint = lane.endpoint();
  RouteState& b = heard.state;
  b.destination = lane.destination();
  if (lane.has_wait_us()) b.retry_after = InRange(lane.wait_us(), out_of_range).value_or(0);
  if (lane.has_out_us()) b.failure_age = InRange(lane.out_us(), out_of_range);
  if (lane.has_back_us()) b.recovery_age = InRange(lane.back_us(), out_of_range);
  if (lane.has_served_us()) b.success_age = InRange(lane.served_us(), out_of_range);
  if (lane.has_refused_us()) b.rejection_age = InRange(lane.refused_us(), out_of_range);
  b.send_rate = lane.pace();
  if (b.rejection_age && !(b.send_rate > 0 && b.send_rate <= kMaxSendRate)) {  // also what is no number
    b.rejection_age.reset();
    ++out_of_range;
  }
  if (lane.has_measured_us()) b.latency_age = InRange(lane.measured_us(), out_of_range);
  if (b.latency_age) {
    const auto latency = InRange(lane.latency_us(), out_of_range);
    if (!latency) b.latency_age.reset();
    b.latency = latency.value_or(0);
  }
  if (lane.has_barred_us()) b.hedging_disabled_age = InRange(lane.barred_us(), out_of_range);
  return true;
}

template <typename Lanes>
std::vector<NamedRouteState> ReadLanes(const Lanes& lanes, int& out_of_range) {
  std::vector<NamedRouteState> all;
  for (const wire::Lane& lane : lanes) {
    NamedRouteState heard;
    if (ReadLane(lane, heard, out_of_range)) all.push_back(std::move(heard));
  }
  return all;
}

Seconds ReadSpan(std::int64_t micros) { return std::clamp(static_cast<double>(micros) / 1e6, 0.0, 1e9); }

}  // namespace

std::string EncodeFrame(const Message& message) {
  wire::Frame frame;
  if (const auto* ask = std::get_if<SnapshotRequest>(&message)) {
    frame.mutable_ask()->set_version(ask->version);
    frame.mutable_ask()->set_name(ask->name);
  } else if (const auto* begin = std::get_if<SnapshotHeader>(&message)) {
    frame.mutable_begin()->set_version(begin->version);
    frame.mutable_begin()->set_name(begin->name);
    frame.mutable_begin()->set_running_us(static_cast<std::int64_t>(begin->running * 1e6));
    frame.mutable_begin()->set_written_at_us(begin->written_at);
  } else if (const auto* chunk = std::get_if<SnapshotChunk>(&message)) {
    frame.mutable_chunk()->set_since_begin_us(static_cast<std::int64_t>(chunk->since_begin * 1e6));
    for (const NamedRouteState& heard : chunk->routes) WriteLane(heard, *frame.mutable_chunk()->add_lanes());
  } else {
    frame.mutable_end()->set_lanes(std::get<SnapshotEnd>(message).route_count);
  }
  return net::Frame(frame.SerializeAsString());
}

std::optional<Message> DecodeFrame(std::string_view record) {
  wire::Frame frame;
  if (!frame.ParseFromArray(record.data(), static_cast<int>(record.size()))) return std::nullopt;
  if (frame.has_ask())
    return SnapshotRequest{frame.ask().version(), frame.ask().name().substr(0, kMaxNameBytes)};
  if (frame.has_begin()) {
    const wire::Begin& begin = frame.begin();
    return SnapshotHeader{begin.version(), begin.name().substr(0, kMaxNameBytes),
                          ReadSpan(begin.running_us()), begin.written_at_us()};
  }
  if (frame.has_chunk()) {
    SnapshotChunk chunk;
    chunk.since_begin = ReadSpan(frame.chunk().since_begin_us());
    chunk.routes = ReadLanes(frame.chunk().lanes(), chunk.out_of_range);
    return chunk;
  }
  if (frame.has_end()) return SnapshotEnd{frame.end().lanes()};
  return std::nullopt;
}

std::string EncodeDatagram(const Datagram& note, std::size_t& written) {
  wire::Note out;
  out.set_version(note.version);
  out.set_nonce(note.nonce);
  out.set_asks(note.is_request);
  written = 0;
  for (const NamedRouteState& heard : note.routes) {
    WriteLane(heard, *out.add_lanes());
    if (kNoteMark.size() + out.ByteSizeLong() > kMaxDatagramBytes) {
      out.mutable_lanes()->RemoveLast();
      break;
    }
    ++written;
  }
  return std::string(kNoteMark) + out.SerializeAsString();
}

std::optional<Datagram> DecodeDatagram(std::string_view bytes) {
  if (bytes.substr(0, kNoteMark.size()) != kNoteMark) return std::nullopt;
  bytes.remove_prefix(kNoteMark.size());
  wire::Note in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  Datagram note;
  note.version = in.version();
  note.nonce = in.nonce();
  note.is_request = in.asks();
  note.routes = ReadLanes(in.lanes(), note.out_of_range);
  return note;
}

void AgeBy(RouteState& b, Seconds by) {
  b.retry_after = std::max(0.0, b.retry_after - by);
  for (std::optional<Seconds>* age : {&b.failure_age, &b.recovery_age, &b.success_age, &b.rejection_age,
                                      &b.latency_age, &b.hedging_disabled_age})
    if (*age) **age += by;
}

}  // namespace opalroute::state_transfer
