// Components of the relay that need no socket: ring buffer, Base64, HTTP parser, configuration.
#include <doctest/doctest.h>

#include <fstream>

#include "config/config.h"
#include "net/base64.h"
#include "net/http.h"
#include "net/ring_buffer.h"

namespace opalroute {
namespace {

using nlohmann::json;

TEST_CASE("ring buffer keeps byte order across wrap-around and never exceeds its capacity") {
  net::RingBuffer ring(6000);
  std::string written, read;
  for (int i = 0; i < 2000; ++i) {
    const std::string piece = std::string(static_cast<std::size_t>(i % 97), static_cast<char>('a' + i % 26));
    if (ring.Append(piece)) written += piece;
    if (i % 3 != 0) continue;
    const std::string_view front = ring.Front();
    const std::size_t count = std::min<std::size_t>(front.size(), 131);
    read += front.substr(0, count);
    ring.Consume(count);
    CHECK(ring.size() <= 6000);
  }
  while (!ring.empty()) {
    read += ring.Front();
    ring.Consume(ring.Front().size());
  }
  CHECK(read == written);
  CHECK_FALSE(ring.Append(std::string(6001, 'x')));
  CHECK(ring.Append(std::string(6000, 'x')));
  CHECK(ring.full());
}

TEST_CASE("Base64 round trip") {
  for (const std::string bytes : {"", "a", "ab", "abc", "hello", "\xff\xfe\x01"}) {
    CHECK(net::DecodeBase64(net::EncodeBase64(bytes)) == bytes);
  }
  CHECK(net::EncodeBase64("hello") == "aGVsbG8=");
  CHECK_FALSE(net::DecodeBase64("a*b"));
}

struct Parsed {
  bool done, failed;
  std::size_t taken;
  std::string body;
};

Parsed ParseInPieces(net::HttpParser::Kind kind, const std::string& bytes, std::size_t piece_size) {
  net::HttpParser parser(kind, {512, 8, 256});
  std::size_t taken = 0;
  while (taken < bytes.size() && !parser.done() && !parser.failed()) {
    const std::size_t count = parser.Parse(std::string_view(bytes).substr(taken, piece_size));
    REQUIRE(count > 0);  // otherwise a connection would loop forever
    taken += count;
  }
  CHECK(parser.message().body.size() <= 256);
  CHECK(parser.message().headers.size() <= 8);
  return {parser.done(), parser.failed(), taken, parser.message().body};
}

// Guards against input that crashes or hangs the parser or makes it grow without bound, and against a message
// whose parse depends on how the network splits it: two readers could then disagree on where the next message
// begins.
TEST_CASE("HTTP parser returns the same result however mutated input is split") {
  const std::string seeds[] = {
      "POST /api HTTP/1.1\r\nX-Txn: a\r\nContent-Length: 5\r\n\r\nhelloGET",
      "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: "
      "x\r\n\r\nGET",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nokHTTP",
      "HTTP/1.1 200 OK\r\n\r\nto the end"};
  std::uint32_t state = 1;
  const auto random_below = [&state](std::uint32_t limit) {
    return (state = state * 1664525U + 1013904223U) / 65536U % limit;
  };
  int done = 0, failed = 0;
  for (int round = 0; round < 4000; ++round) {
    const std::size_t seed_index = random_below(4);
    std::string bytes = seeds[seed_index];
    for (std::uint32_t change = random_below(4); change > 0; --change) {
      const std::size_t at = random_below(static_cast<std::uint32_t>(bytes.size()));
      if (random_below(3) == 0)
        bytes.insert(at, random_below(2) == 0 ? "\r\n" : std::string(random_below(300), '7'));
      bytes[at] = static_cast<char>(random_below(3) == 0 ? random_below(256) : "0:\r\n ;f"[random_below(7)]);
    }
    const auto kind = seed_index < 2 ? net::HttpParser::Kind::kRequest : net::HttpParser::Kind::kResponse;
    const Parsed whole = ParseInPieces(kind, bytes, bytes.size());
    for (const std::size_t piece_size : {std::size_t{1}, std::size_t{7}}) {
      const Parsed split = ParseInPieces(kind, bytes, piece_size);
      CHECK(split.done == whole.done);
      CHECK(split.failed == whole.failed);
      if (whole.done) {
        CHECK(split.taken == whole.taken);
        CHECK(split.body == whole.body);
      }
    }
    done += whole.done ? 1 : 0;
    failed += whole.failed ? 1 : 0;
  }
  CHECK(done > 400);
  CHECK(failed > 400);
}

std::string ErrorFor(const std::string& pointer, const json& value) {
  std::ifstream file(std::string(EXCHANGES) + "/base.json");
  json base = json::parse(file);
  base["discovery"] = "127.0.0.1:1";
  base["state"] = "/tmp";
  base[json::json_pointer(pointer)] = value;
  try {
    config::Parse(base, [](const char*) { return std::nullopt; });
  } catch (const config::FieldError& error) {
    return error.what();
  }
  return {};
}

// Operators must learn from the error message which key of their configuration is invalid.
TEST_CASE("configuration errors name the invalid key") {
  CHECK(ErrorFor("/name", "n1").empty());
  const auto names = [](const std::string& text, const char* key) {
    return text.find(key) != std::string::npos;
  };
  CHECK(names(ErrorFor("/listen", "nowhere"), "'listen'"));
  CHECK(names(ErrorFor("/discovery", nullptr), "'discovery'"));
  CHECK(names(ErrorFor("/seed", "xyz"), "'seed'"));
  CHECK(names(ErrorFor("/peers", json::array({"1.2.3"})), "'peers'"));
  CHECK(names(ErrorFor("/limits/disk_mb", 0), "'limits.disk_mb'"));
  CHECK(names(ErrorFor("/limits/sockets", 10), "'limits.sockets'"));
  CHECK(names(ErrorFor("/settings/tickS", 0), "'tickS'"));
  CHECK(names(ErrorFor("/settings/classes/0/effect", "other"), "'effect'"));
  CHECK(names(ErrorFor("/settings/limits/connIdleS", -1), "connIdleS"));
}

TEST_CASE("environment variables override the configuration file") {
  std::ifstream file(std::string(EXCHANGES) + "/base.json");
  const json base = json::parse(file);
  const Config config = config::Parse(base, [](const char* name) -> std::optional<std::string> {
    if (std::string(name) == "EDGE_DISCOVERY") return "127.0.0.1:9";
    if (std::string(name) == "EDGE_STATE") return "/somewhere";
    return std::nullopt;
  });
  CHECK(ntohs(config.discovery.sin_port) == 9);
  CHECK(config.state_folder == "/somewhere");
  CHECK(config.limits.upstream_idle_timeout < 15);
  CHECK(config.limits.open_requests == 40);
}

}  // namespace
}  // namespace opalroute
