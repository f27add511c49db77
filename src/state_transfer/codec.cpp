#include "state_transfer/codec.h"

#include <algorithm>
#include <cmath>

#include "net/framing.h"
#include "state_transfer.pb.h"

namespace opalroute::state_transfer {

namespace {

constexpr std::string_view kDatagramMagic = "OLN1";
constexpr double kMicrosPerSecond = 1e6;
constexpr Seconds kMaxDuration = 1e9;  // of an uptime, and of a chunk's time since the header

std::int64_t Micros(Seconds seconds) {
  return static_cast<std::int64_t>(std::llround(std::clamp(seconds, 0.0, kMaxAge) * kMicrosPerSecond));
}

// For uptimes and times since the header, which kMaxAge does not limit.
std::int64_t UnboundedMicros(Seconds seconds) {
  return static_cast<std::int64_t>(seconds * kMicrosPerSecond);
}

Seconds ReadDuration(std::int64_t micros) {
  return std::clamp(static_cast<double>(micros) / kMicrosPerSecond, 0.0, kMaxDuration);
}

// Returns nullopt and increments `out_of_range` for a negative age or one above kMaxAge.
std::optional<Seconds> ReadAge(std::int64_t micros, int& out_of_range) {
  if (micros >= 0 && micros <= Micros(kMaxAge)) return static_cast<double>(micros) / kMicrosPerSecond;
  ++out_of_range;
  return std::nullopt;
}

void WriteRoute(const NamedRouteState& route, wire::RouteState& out) {
  const RouteState& state = route.state;
  out.set_destination(state.destination);
  out.set_endpoint(route.endpoint);
  if (state.retry_after > 0) out.set_retry_after_us(Micros(state.retry_after));
  if (state.failure_age) out.set_failure_age_us(Micros(*state.failure_age));
  if (state.recovery_age) out.set_recovery_age_us(Micros(*state.recovery_age));
  if (state.success_age) out.set_success_age_us(Micros(*state.success_age));
  if (state.rejection_age) {
    out.set_rejection_age_us(Micros(*state.rejection_age));
    out.set_send_rate(state.send_rate);
  }
  if (state.latency_age) {
    out.set_latency_age_us(Micros(*state.latency_age));
    out.set_latency_us(Micros(state.latency));
  }
  if (state.hedging_disabled_age) out.set_hedging_disabled_age_us(Micros(*state.hedging_disabled_age));
}

void ReadSendRate(const wire::RouteState& in, RouteState& state, int& out_of_range) {
  if (in.has_rejection_age_us()) state.rejection_age = ReadAge(in.rejection_age_us(), out_of_range);
  state.send_rate = in.send_rate();
  // Also false for NaN.
  const bool in_range = state.send_rate > 0 && state.send_rate <= kMaxSendRate;
  if (state.rejection_age && !in_range) {
    state.rejection_age.reset();
    ++out_of_range;
  }
}

void ReadLatency(const wire::RouteState& in, RouteState& state, int& out_of_range) {
  if (in.has_latency_age_us()) state.latency_age = ReadAge(in.latency_age_us(), out_of_range);
  if (!state.latency_age) return;
  const auto latency = ReadAge(in.latency_us(), out_of_range);
  if (!latency) state.latency_age.reset();
  state.latency = latency.value_or(0);
}

std::optional<NamedRouteState> ReadRoute(const wire::RouteState& in, int& out_of_range) {
  if (in.endpoint().size() > kMaxNameBytes) {
    ++out_of_range;
    return std::nullopt;
  }
  NamedRouteState route;
  route.endpoint = in.endpoint();
  RouteState& state = route.state;
  state.destination = in.destination();
  if (in.has_retry_after_us()) state.retry_after = ReadAge(in.retry_after_us(), out_of_range).value_or(0);
  if (in.has_failure_age_us()) state.failure_age = ReadAge(in.failure_age_us(), out_of_range);
  if (in.has_recovery_age_us()) state.recovery_age = ReadAge(in.recovery_age_us(), out_of_range);
  if (in.has_success_age_us()) state.success_age = ReadAge(in.success_age_us(), out_of_range);
  ReadSendRate(in, state, out_of_range);
  ReadLatency(in, state, out_of_range);
  if (in.has_hedging_disabled_age_us()) {
    state.hedging_disabled_age = ReadAge(in.hedging_disabled_age_us(), out_of_range);
  }
  return route;
}

template <typename WireRoutes>
std::vector<NamedRouteState> ReadRoutes(const WireRoutes& in, int& out_of_range) {
  std::vector<NamedRouteState> routes;
  for (const wire::RouteState& wire_route : in) {
    if (auto route = ReadRoute(wire_route, out_of_range)) routes.push_back(std::move(*route));
  }
  return routes;
}

// Visitor that writes a message into a frame.
struct FrameWriter {
  wire::Frame& frame;

  void operator()(const SnapshotRequest& request) const {
    frame.mutable_request()->set_version(request.version);
    frame.mutable_request()->set_name(request.name);
  }
  void operator()(const SnapshotHeader& header) const {
    frame.mutable_header()->set_version(header.version);
    frame.mutable_header()->set_name(header.name);
    frame.mutable_header()->set_uptime_us(UnboundedMicros(header.uptime));
    frame.mutable_header()->set_written_at_us(header.written_at);
  }
  void operator()(const SnapshotChunk& chunk) const {
    frame.mutable_chunk()->set_since_header_us(UnboundedMicros(chunk.since_header));
    for (const NamedRouteState& route : chunk.routes) WriteRoute(route, *frame.mutable_chunk()->add_routes());
  }
  void operator()(const SnapshotEnd& end) const { frame.mutable_end()->set_route_count(end.route_count); }
};

SnapshotRequest ReadRequest(const wire::SnapshotRequest& in) {
  return {in.version(), in.name().substr(0, kMaxNameBytes)};
}

SnapshotHeader ReadHeader(const wire::SnapshotHeader& in) {
  return {in.version(), in.name().substr(0, kMaxNameBytes), ReadDuration(in.uptime_us()), in.written_at_us()};
}

SnapshotChunk ReadChunk(const wire::SnapshotChunk& in) {
  SnapshotChunk chunk;
  chunk.since_header = ReadDuration(in.since_header_us());
  chunk.routes = ReadRoutes(in.routes(), chunk.out_of_range);
  return chunk;
}

}  // namespace

std::string EncodeFrame(const Message& message) {
  wire::Frame frame;
  std::visit(FrameWriter{frame}, message);
  return net::EncodeFrame(frame.SerializeAsString());
}

std::optional<Message> DecodeFrame(std::string_view record) {
  wire::Frame frame;
  if (!frame.ParseFromArray(record.data(), static_cast<int>(record.size()))) return std::nullopt;
  switch (frame.kind_case()) {
    case wire::Frame::kRequest:
      return ReadRequest(frame.request());
    case wire::Frame::kHeader:
      return ReadHeader(frame.header());
    case wire::Frame::kChunk:
      return ReadChunk(frame.chunk());
    case wire::Frame::kEnd:
      return SnapshotEnd{frame.end().route_count()};
    case wire::Frame::KIND_NOT_SET:
      break;
  }
  return std::nullopt;
}

EncodedDatagram EncodeDatagram(const Datagram& datagram) {
  wire::Datagram out;
  out.set_version(datagram.version);
  out.set_nonce(datagram.nonce);
  out.set_is_request(datagram.is_request);
  EncodedDatagram encoded;
  for (const NamedRouteState& route : datagram.routes) {
    WriteRoute(route, *out.add_routes());
    if (kDatagramMagic.size() + out.ByteSizeLong() > kMaxDatagramBytes) {
      out.mutable_routes()->RemoveLast();
      break;
    }
    ++encoded.route_count;
  }
  encoded.bytes = std::string(kDatagramMagic) + out.SerializeAsString();
  return encoded;
}

std::optional<Datagram> DecodeDatagram(std::string_view bytes) {
  if (bytes.substr(0, kDatagramMagic.size()) != kDatagramMagic) return std::nullopt;
  bytes.remove_prefix(kDatagramMagic.size());
  wire::Datagram in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  Datagram datagram;
  datagram.version = in.version();
  datagram.nonce = in.nonce();
  datagram.is_request = in.is_request();
  datagram.routes = ReadRoutes(in.routes(), datagram.out_of_range);
  return datagram;
}

void AgeBy(RouteState& state, Seconds by) {
  state.retry_after = std::max(0.0, state.retry_after - by);
  for (std::optional<Seconds>* age :
       {&state.failure_age, &state.recovery_age, &state.success_age, &state.rejection_age, &state.latency_age,
        &state.hedging_disabled_age}) {
    if (*age) **age += by;
  }
}

}  // namespace opalroute::state_transfer
