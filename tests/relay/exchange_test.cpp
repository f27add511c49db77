// Plays recorded byte exchanges (tests/exchanges/*.txt) against the relay on loopback sockets, on a clock of
// its own, and compares what comes back. A line is one step:
//
//   pool ID DEST ZONE KIND      ID listens, and stands in the list that the relay knows at its start
//   set /POINTER JSON           changes the configuration
//   start | kill | stop | ended starts the relay; ends it without a word; SIGTERM; it has ended by itself
//   inherit                     from here on relays take over one listening socket that the platform holds
//   next | old stop | old kill  starts a second relay beside the first, which is `old` then
//   crowd N                     N callers connect to the door and never finish their call
//   tear N                      cuts N bytes off the journal's end
//   move PLACE                  PLACE listens, and the configuration names it as discovery
//   reload                      SIGHUP
//   wait MS                     lets time pass
//   jump MS                     the same in one leap, with one round of the loop behind it
//   step MS                     the machine's wall clock is set, forward or back; its monotonic clock runs on
//   boot MS                     the machine starts anew: the monotonic clock as well, and the wall clock is
//   MS on NAME connect [door]         a client connects, or an operator's caller NAME accept PLACE PLACE (an
//   endpoint's id, or `discovery`) takes a connection NAME accept PLACE METHOD    the same, of those that
//   stand the first that brings a request of this method;
//                               those before it stay open, and hear nothing
//   NAME accepted PLACE         the same as accept, and the connection stands already: no time passes
//   NAME refuse                 the endpoint NAME listens no more
//   NAME < TEXT                 sends a line; \ at its end: without CR LF; escapes: \r \n \0 \xHH; @PLACE@ is
//                               the address that PLACE listens at
//   NAME . TEXT                 the same, byte by byte
//   NAME sends TEXT             sends a line, and gives the relay no turn: it is there when the next step
//   begins NAME crosses TEXT           sends a line in the midst of the loop's next round: after the loop has
//   asked what
//                               has come, before its timers
//   NAME > PATTERN              the next lines that NAME receives, apart by \r\n; * stands for anything
//   NAME leaves TEXT            sends and closes before the relay has read it
//   NAME close | closed | quiet closes; was closed by the relay; has received nothing more
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/tcp.h>
#include <spdlog/spdlog.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "net/address.h"
#include "relay/relay.h"

namespace opalroute {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

class FakeClock : public net::Clock {
 public:
  net::Seconds Now() const override { return now; }
  std::int64_t WallMicros() const override {
    return 1'700'000'000'000'000 + static_cast<std::int64_t>((now + wall_offset) * 1e6);
  }
  net::Seconds now = 1000;
  net::Seconds wall_offset = 0;  // by which the wall clock has been stepped
};

sockaddr_in AnyPort() { return *net::ParseAddress("127.0.0.1:0"); }

std::string BoundTo(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return net::FormatAddress(address);
}

int Listen() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  const sockaddr_in address = AnyPort();
  REQUIRE(bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
  REQUIRE(listen(fd, 64) == 0);
  return fd;
}

bool Matches(std::string_view pattern, std::string_view text) {
  const std::size_t star = pattern.find('*');
  if (star == std::string_view::npos) return pattern == text;
  if (text.substr(0, star) != pattern.substr(0, star)) return false;
  for (std::size_t at = star; at <= text.size(); ++at)
    if (Matches(pattern.substr(star + 1), text.substr(at))) return true;
  return false;
}

std::string Unescape(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '\\' || i + 1 == text.size()) {
      out += text[i];
      continue;
    }
    const char c = text[++i];
    if (c == 'x') {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += c == 'r' ? '\r' : c == 'n' ? '\n' : c == '0' ? '\0' : c;
    }
  }
  return out;
}

// Bytes that arrive when the loop has already asked the kernel what has come, and its timers are still to
// run.
class Crossing : public net::EventHandler {
 public:
  Crossing(net::EventLoop& loop, int to, std::string bytes)
      : loop_(loop), fd_(eventfd(1, EFD_NONBLOCK)), to_(to), bytes_(std::move(bytes)) {
    REQUIRE(loop_.Add(fd_, this));
  }
  ~Crossing() override {
    loop_.Remove(fd_);
    close(fd_);
  }
  void OnEvents(std::uint32_t) override {
    const std::string bytes = std::exchange(bytes_, {});
    if (!bytes.empty()) CHECK(send(to_, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0);
  }

 private:
  net::EventLoop& loop_;
  int fd_, to_;
  std::string bytes_;
};

class Player {
 public:
  explicit Player(const fs::path& base) : state_(base) {
    fs::remove_all(state_);
    fs::create_directories(state_);
    listeners_["discovery"] = Listen();
    std::ifstream file(fs::path(EXCHANGES) / "base.json");
    config_ = json::parse(file);
    config_["discovery"] = BoundTo(listeners_["discovery"]);
    config_["state"] = state_.string();
  }
  ~Player() {
    relay_.reset();
    old_.reset();
    if (inherited_ >= 0) close(inherited_);
    for (const auto& [name, fd] : listeners_) close(fd);
    for (const auto& [name, peer] : peers_) close(peer.fd);
    fs::remove_all(state_);
  }

  void Play(const std::string& line) {
    std::istringstream words(line);
    std::string first, second, third;
    words >> first >> second;
    std::getline(words >> std::ws, third);
    if (first == "pool") {
      AddEndpoint(second, third);
    } else if (first == "set") {
      config_[json::json_pointer(second)] = json::parse(third);
    } else if (first == "start") {
      Start();
    } else if (first == "kill") {
      relay_.reset();
      crossing_.reset();
      loop_ = std::make_unique<net::EventLoop>(clock_);
    } else if (first == "stop") {
      ended_ = false;
      relay_->Stop([this] { ended_ = true; });
    } else if (first == "ended") {
      CHECK(Until([this] { return ended_; }));
    } else if (first == "inherit") {
      inherited_ = Listen();
    } else if (first == "next") {
      old_ = std::move(relay_);
      Start();
    } else if (first == "old") {
      second == "stop" ? old_->Stop([this] { ended_ = true; }) : old_.reset();
    } else if (first == "crowd") {
      for (int i = 0; i < std::stoi(second); ++i) {
        Peer& peer = peers_["crowd" + std::to_string(i)];
        peer = Connected(relay_->operations_server()->address());
        Send(peer, "GET /v1/re", false);
      }
    } else if (first == "move") {
      config_["discovery"] = BoundTo(listeners_[second] = Listen());
    } else if (first == "reload") {
      relay_->Reload([this] { return config::Parse(config_, [](const char*) { return std::nullopt; }); });
    } else if (first == "jump") {
      clock_.now += std::stod(second) / 1000;
      loop_->RunOnce(0);
    } else if (first == "step") {
      clock_.wall_offset += std::stod(second) / 1000;
    } else if (first == "boot") {
      constexpr net::Seconds kAfterBoot = 5;
      clock_.wall_offset += clock_.now - kAfterBoot + std::stod(second) / 1000;
      clock_.now = kAfterBoot;
    } else if (first == "tear") {
      fs::resize_file(state_ / "journal", fs::file_size(state_ / "journal") - std::stoul(second));
    } else if (first == "wait") {
      Until([] { return false; }, 10);
      for (int i = 0; i < std::stoi(second); ++i) Pump(0.001);
    } else {
      Step(first, second, third, line);
    }
  }

 private:
  struct Peer {
    int fd = -1;
    std::string in;
    bool ended = false;
  };

  void AddEndpoint(const std::string& id, const std::string& rest) {
    std::istringstream words(rest);
    int destination = 0;
    std::string zone, kind;
    words >> destination >> zone >> kind;
    if (listeners_.count(id) == 0) listeners_[id] = Listen();
    config_["known"]["instances"].push_back({{"instanceId", id},
                                             {"hostPort", BoundTo(listeners_[id])},
                                             {"zone", zone},
                                             {"machineType", kind},
                                             {"cell", destination},
                                             {"lifecycle", "ready"},
                                             {"weight", 20.0}});
  }

  void Start() {
    parsed_.push_back(std::make_unique<Config>(config::Parse(config_, [this](const char* name) {
      const bool asked = inherited_ >= 0 && name == std::string_view("EDGE_INHERITED_FD");
      return asked ? std::optional(std::to_string(dup(inherited_))) : std::nullopt;
    })));
    relay_ = std::make_unique<Relay>(*loop_, *parsed_.back());
  }

  Peer Connected(const sockaddr_in& to) {
    const Peer peer = Opened(socket(AF_INET, SOCK_STREAM, 0));
    REQUIRE(connect(peer.fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0);
    return peer;
  }

  void Pump(net::Seconds step = 0.0002) {
    loop_->RunOnce(0);
    clock_.now += step;
    loop_->RunOnce(0);
  }

  // The kernel may need a moment between two sockets. The clock goes on meanwhile, no faster than a real one,
  // so that a slow machine does not look like a slow endpoint.
  template <typename Condition>
  bool Until(Condition condition, int rounds = 20000) {
    for (int i = 0; i < rounds; ++i) {
      if (condition()) return true;
      Pump(0.0001);
      usleep(100);
    }
    return condition();
  }

  Peer Opened(int fd) {
    const int on = 1;  // else the kernel holds single bytes back
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return {fd, {}, false};
  }

  void Receive(Peer& peer) {
    char bytes[4096];
    ssize_t count = 0;
    while ((count = recv(peer.fd, bytes, sizeof(bytes), MSG_DONTWAIT)) > 0)
      peer.in.append(bytes, static_cast<std::size_t>(count));
    if (count == 0 || (count < 0 && errno != EAGAIN)) peer.ended = true;
  }

  void Send(Peer& peer, const std::string& text, bool bytewise) {
    for (std::size_t i = 0; i < text.size(); i += bytewise ? 1 : text.size()) {
      const std::size_t size = bytewise ? 1 : text.size();
      CHECK(send(peer.fd, text.data() + i, size, MSG_NOSIGNAL) == static_cast<ssize_t>(size));
      Pump();
      usleep(100);
    }
  }

  // Any connection, or the first that brings a request of this method; a watch that has been closed is none.
  Peer Accepted(const std::string& place, const std::string& method) {
    for (;;) {
      int fd = -1;
      REQUIRE(
          Until([&] { return (fd = accept4(listeners_.at(place), nullptr, nullptr, SOCK_NONBLOCK)) >= 0; }));
      Peer peer = Opened(fd);
      if (method.empty()) return peer;
      REQUIRE(Until([&] { return Receive(peer), peer.ended || peer.in.size() > method.size(); }));
      const bool closed_watch = method == "GET" && peer.ended;
      if (!closed_watch && peer.in.compare(0, method.size(), method) == 0) return peer;
      peers_["passed over " + std::to_string(fd)] = peer;
    }
  }

  void ExpectLine(Peer& peer, const std::string& text) {
    Until([&] {
      Receive(peer);
      return peer.in.find('\n') != std::string::npos || (!text.empty() && Matches(text, peer.in));
    });
    const bool whole = peer.in.find('\n') != std::string::npos;
    std::string got = peer.in.substr(0, peer.in.find('\n'));
    peer.in.erase(0, got.size() + (whole ? 1 : 0));
    if (!got.empty() && got.back() == '\r') got.pop_back();
    CHECK_MESSAGE(Matches(text, got), "wanted '", text, "' and got '", got, "'");
  }

  void Step(const std::string& name, const std::string& verb, const std::string& text,
            const std::string& line) {
    if (verb == "connect") {
      peers_[name] = Connected(text == "door" ? relay_->operations_server()->address() : relay_->address());
      return;
    }
    if (verb == "accepted") {
      const int fd = accept4(listeners_.at(text), nullptr, nullptr, SOCK_NONBLOCK);
      REQUIRE(fd >= 0);
      peers_[name] = Opened(fd);
      return;
    }
    if (verb == "accept") {
      std::istringstream words(text);
      std::string place, method;
      words >> place >> method;
      peers_[name] = Accepted(place, method);
      return;
    }
    if (verb == "refuse") {
      close(listeners_.at(name));
      listeners_.erase(name);
      return;
    }
    REQUIRE_MESSAGE(peers_.count(name) == 1, line);
    Peer& peer = peers_[name];
    if (verb == "<" || verb == "." || verb == "sends" || verb == "crosses") {
      const bool bare = !text.empty() && text.back() == '\\';
      std::string bytes = Unescape(bare ? text.substr(0, text.size() - 1) : text) + (bare ? "" : "\r\n");
      for (const auto& [place, fd] : listeners_)
        for (std::size_t at = 0; (at = bytes.find("@" + place + "@")) != std::string::npos;)
          bytes.replace(at, place.size() + 2, BoundTo(fd));
      if (verb == "sends") {
        CHECK(send(peer.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
      } else if (verb == "crosses") {
        crossing_ = std::make_unique<Crossing>(*loop_, peer.fd, bytes);
      } else {
        Send(peer, bytes, verb == ".");
      }
    } else if (verb == "leaves") {
      send(peer.fd, Unescape(text).data(), Unescape(text).size(), MSG_NOSIGNAL);
      close(peer.fd);
      peers_.erase(name);
      usleep(2000);
    } else if (verb == ">") {
      for (std::size_t at = 0, end = 0; end != std::string::npos; at = end + 4) {
        end = text.find("\\r\\n", at);
        ExpectLine(peer, text.substr(at, end == std::string::npos ? end : end - at));
      }
    } else if (verb == "close") {
      close(peer.fd);
      peers_.erase(name);
    } else if (verb == "closed") {
      CHECK(Until([&] { return Receive(peer), peer.ended; }));
    } else if (verb == "quiet") {
      Until([] { return false; }, 50);
      Receive(peer);
      CHECK_MESSAGE(peer.in.empty(), "got '", peer.in, "'");
      CHECK(!peer.ended);
    } else {
      FAIL("no such step: ", line);
    }
  }

  fs::path state_;
  FakeClock clock_;
  json config_;
  std::unique_ptr<net::EventLoop> loop_ = std::make_unique<net::EventLoop>(clock_);
  std::vector<std::unique_ptr<Config>> parsed_;
  std::unique_ptr<Relay> relay_, old_;
  std::unique_ptr<Crossing> crossing_;
  int inherited_ = -1;
  bool ended_ = false;
  std::map<std::string, int> listeners_;
  std::map<std::string, Peer> peers_;
};

void PlayAll(const fs::path& folder, int least) {
  spdlog::set_level(spdlog::level::off);
  int played = 0;
  for (const auto& entry : fs::directory_iterator(folder)) {
    if (entry.path().extension() != ".txt") continue;
    ++played;
    SUBCASE(entry.path().filename().c_str()) {
      Player player(fs::temp_directory_path() / ("opalroute-" + std::to_string(getpid())));
      std::ifstream file(entry.path());
      std::string line;
      for (int number = 1; std::getline(file, line); ++number) {
        if (line.empty() || line[0] == '#') continue;
        INFO(entry.path().filename().string(), ":", number, ": ", line);
        player.Play(line);
      }
    }
  }
  CHECK(played >= least);
}

TEST_CASE("recorded exchanges") { PlayAll(EXCHANGES, 6); }

TEST_CASE("operation: recorded exchanges") { PlayAll(fs::path(EXCHANGES) / "operation", 2); }

// Bytes, ends and times that cross one another: each shows what is still owed at that instant, and to whom.
TEST_CASE("crossings: recorded exchanges") { PlayAll(fs::path(EXCHANGES) / "crossings", 8); }

}  // namespace
}  // namespace opalroute
