// The format of state transfer: encoding, ranges, and damage.
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

TEST_CASE("state transfer: what is encoded is decoded, to the microsecond") {
  SnapshotChunk chunk;
  chunk.since_header = 0.125;
  chunk.routes = SomeRoutes(20);
  const std::string bytes = EncodeFrame(chunk);
  const auto read = DecodeFrame(net::ReadFrame(bytes, kMaxFrameBytes).record);
  const SnapshotChunk& back = std::get<SnapshotChunk>(*read);
  CHECK(back.since_header == 0.125);
  REQUIRE(back.routes.size() == 20);
  CHECK(back.routes[6].endpoint == "s-6");
  CHECK(*back.routes[6].state.failure_age == 6);
  CHECK(back.routes[6].state.retry_after == 1);
  CHECK(back.routes[6].state.latency == 0.25);
  CHECK(back.out_of_range == 0);
}

TEST_CASE("state transfer: values out of range are left out, and nothing else") {
  const auto through = [](NamedRouteState route) {
    SnapshotChunk chunk;
    chunk.routes = {std::move(route)};
    return std::get<SnapshotChunk>(*DecodeFrame(net::ReadFrame(EncodeFrame(chunk), kMaxFrameBytes).record));
  };
  // Written by hand, as this program's encoder clamps. Field 4 (failure_age_us) as a zigzag varint of -1.
  const auto raw = [](const std::string& route) {
    const std::string chunk = std::string("\x12") + static_cast<char>(route.size()) + route;
    const std::string frame = std::string("\x1a") + static_cast<char>(chunk.size()) + chunk;
    return std::get<SnapshotChunk>(*DecodeFrame(frame));
  };
  const SnapshotChunk negative = raw("\x08\x02\x20\x01\x18\x02");
  REQUIRE(negative.routes.size() == 1);
  CHECK(!negative.routes[0].state.failure_age);
  CHECK(negative.routes[0].state.retry_after == doctest::Approx(1e-6));
  CHECK(negative.out_of_range == 1);
  const SnapshotChunk year =
      raw("\x08\x02\x18\x80\x80\xc0\xa3\xd2\x94\xdc\x39");  // a Retry-After of about a year
  CHECK(year.routes[0].state.retry_after == 0);
  CHECK(year.out_of_range == 1);
  NamedRouteState limited;
  limited.state.rejection_age = 1;
  for (const double wrong : {std::nan(""), std::numeric_limits<double>::infinity(), -1.0, 0.0, 1e9}) {
    limited.state.send_rate = wrong;
    const SnapshotChunk read = through(limited);
    CHECK(!read.routes[0].state.rejection_age);
    CHECK(read.out_of_range == 1);
  }
  NamedRouteState name = Failing(1, 1);
  name.endpoint = std::string(300, 'x');
  CHECK(through(name).routes.empty());
}

// Truncated and with bits flipped at every place: nothing crashes, and every decoded value is in its range.
TEST_CASE("state transfer: damaged snapshots") {
  std::string whole = EncodeFrame(SnapshotHeader{kVersion, "n1", 5, 0});
  const std::size_t first = whole.size();
  for (int i = 0; i < 6; ++i) {
    SnapshotChunk chunk;
    chunk.routes = SomeRoutes(12);
    whole += EncodeFrame(chunk);
  }
  const std::size_t last = whole.size();
  whole += EncodeFrame(SnapshotEnd{72});
  const auto read = [](const std::string& bytes, bool& broken) {
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
    broken = reader.broken();
    return routes;
  };
  bool broken = false;
  CHECK(read(whole, broken) == 72);
  std::size_t most = 0;
  for (std::size_t cut = 0; cut < whole.size(); ++cut) {
    const std::size_t routes = read(whole.substr(0, cut), broken);
    CHECK(routes % 12 == 0);  // what arrived complete before the break is used
    CHECK(routes >= most);
    most = routes;
  }
  std::mt19937 draw(3);
  for (int i = 0; i < 3000; ++i) {
    std::string damaged = whole;
    const std::size_t at = first + draw() % (last - first);
    damaged[at] = static_cast<char>(damaged[at] ^ (1 << draw() % 8));
    CHECK(read(damaged, broken) < 72);  // detected by the checksum or the length
  }
  for (int i = 0; i < 3000; ++i) {  // intact frames around noise: protobuf itself has to reject it
    std::string noise(draw() % 200, '\0');
    for (char& c : noise) c = static_cast<char>(draw());
    read(net::EncodeFrame(noise), broken);
    DecodeDatagram("OLN1" + noise);
  }
}

}  // namespace
}  // namespace opalroute::state_transfer
