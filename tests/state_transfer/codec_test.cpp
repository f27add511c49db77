// The format of state transfer: encoding, ranges, and corrupt input.
#include "state_transfer/codec.h"

#include <doctest/doctest.h>

#include <cmath>
#include <limits>
#include <random>
#include <string>
#include <vector>

#include "net/framing.h"
#include "state_transfer/frame_reader.h"
#include "tests/state_transfer/route_states.h"

namespace opalroute::state_transfer {
namespace {

TEST_CASE("state transfer: decoded values equal the encoded ones to the microsecond") {
  SnapshotChunk chunk;
  chunk.since_header = 0.125;
  chunk.routes = SomeRoutes(20);
  const std::string bytes = EncodeFrame(chunk);
  const auto message = DecodeFrame(net::ReadFrame(bytes, kMaxFrameBytes).record);
  const SnapshotChunk& decoded = std::get<SnapshotChunk>(*message);
  CHECK(decoded.since_header == 0.125);
  REQUIRE(decoded.routes.size() == 20);
  CHECK(decoded.routes[6].endpoint == "s-6");
  CHECK(*decoded.routes[6].state.failure_age == 6);
  CHECK(decoded.routes[6].state.retry_after == 1);
  CHECK(decoded.routes[6].state.latency == 0.25);
  CHECK(decoded.out_of_range == 0);
}

TEST_CASE("state transfer: only values that are out of range are dropped") {
  const auto round_trip = [](NamedRouteState route) {
    SnapshotChunk chunk;
    chunk.routes = {std::move(route)};
    return std::get<SnapshotChunk>(*DecodeFrame(net::ReadFrame(EncodeFrame(chunk), kMaxFrameBytes).record));
  };
  // Decodes a route in protobuf encoding, since the encoder would clamp its values. The first route has the
  // zigzag varint of -1 in field 4 (failure_age_us).
  const auto decode_raw = [](const std::string& route) {
    const std::string chunk = std::string("\x12") + static_cast<char>(route.size()) + route;
    const std::string frame = std::string("\x1a") + static_cast<char>(chunk.size()) + chunk;
    return std::get<SnapshotChunk>(*DecodeFrame(frame));
  };
  const SnapshotChunk negative = decode_raw("\x08\x02\x20\x01\x18\x02");
  REQUIRE(negative.routes.size() == 1);
  CHECK(!negative.routes[0].state.failure_age);
  CHECK(negative.routes[0].state.retry_after == doctest::Approx(1e-6));
  CHECK(negative.out_of_range == 1);
  // A Retry-After of about a year.
  const SnapshotChunk too_long = decode_raw("\x08\x02\x18\x80\x80\xc0\xa3\xd2\x94\xdc\x39");
  CHECK(too_long.routes[0].state.retry_after == 0);
  CHECK(too_long.out_of_range == 1);
  NamedRouteState limited;
  limited.state.rejection_age = 1;
  for (const double send_rate : {std::nan(""), std::numeric_limits<double>::infinity(), -1.0, 0.0, 1e9}) {
    limited.state.send_rate = send_rate;
    const SnapshotChunk decoded = round_trip(limited);
    CHECK(!decoded.routes[0].state.rejection_age);
    CHECK(decoded.out_of_range == 1);
  }
  NamedRouteState long_id = FailingRoute(1, 1);
  long_id.endpoint = std::string(300, 'x');
  CHECK(round_trip(long_id).routes.empty());
}

// Truncates a snapshot at every position and flips random bits.
TEST_CASE("state transfer: damaged input crashes nothing and yields only values in their ranges") {
  std::string snapshot = EncodeFrame(SnapshotHeader{kVersion, "n1", 5, 0});
  const std::size_t chunks_begin = snapshot.size();
  for (int i = 0; i < 6; ++i) {
    SnapshotChunk chunk;
    chunk.routes = SomeRoutes(12);
    snapshot += EncodeFrame(chunk);
  }
  const std::size_t chunks_end = snapshot.size();
  snapshot += EncodeFrame(SnapshotEnd{72});
  const auto count_routes = [](const std::string& bytes, bool& corrupt) {
    FrameReader reader;
    reader.Append(bytes);
    std::size_t routes = 0;
    while (const auto message = reader.Next()) {
      const auto* chunk = std::get_if<SnapshotChunk>(&*message);
      if (chunk == nullptr) continue;
      routes += chunk->routes.size();
      for (const NamedRouteState& route : chunk->routes) {
        CHECK(route.state.retry_after >= 0);
        CHECK(route.state.retry_after <= kMaxAge);
        CHECK((!route.state.failure_age ||
               (*route.state.failure_age >= 0 && *route.state.failure_age <= kMaxAge)));
        CHECK(route.endpoint.size() <= kMaxNameBytes);
      }
    }
    corrupt = reader.corrupt();
    return routes;
  };
  bool corrupt = false;
  CHECK(count_routes(snapshot, corrupt) == 72);
  std::size_t previous = 0;
  for (std::size_t size = 0; size < snapshot.size(); ++size) {
    const std::size_t routes = count_routes(snapshot.substr(0, size), corrupt);
    CHECK(routes % 12 == 0);  // chunks that are complete are used
    CHECK(routes >= previous);
    previous = routes;
  }
  std::mt19937 random(3);
  for (int i = 0; i < 3000; ++i) {
    std::string damaged = snapshot;
    const std::size_t position = chunks_begin + random() % (chunks_end - chunks_begin);
    damaged[position] = static_cast<char>(damaged[position] ^ (1 << random() % 8));
    CHECK(count_routes(damaged, corrupt) < 72);  // detected by the checksum or the length
  }
  // Random bytes in intact frames, which only the protobuf decoder can reject.
  for (int i = 0; i < 3000; ++i) {
    std::string noise(random() % 200, '\0');
    for (char& c : noise) c = static_cast<char>(random());
    count_routes(net::EncodeFrame(noise), corrupt);
    DecodeDatagram("OLN1" + noise);
  }
}

}  // namespace
}  // namespace opalroute::state_transfer
