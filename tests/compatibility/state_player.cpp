// state_player PROGRAM FIXTURE SHIFT_S [EXPECTED]: starts the relay program on a copy of a recorded state
// folder and prints what it recovers: the calls that each endpoint gets, the notifications, counters, and
// what is kept in the folder. With EXPECTED, compares these lines with the file instead; the exit status is 1
// if a line is missing or unexpected.
//
// The recorded deadlines passed long ago. So the copy's file `clock` is rewritten, in its own format, as a
// process of this boot would have left it: with the offset at which the folder's time continues SHIFT_S
// seconds after the kill. Uses none of the relay's code, only its sockets and files.
#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <zlib.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <regex>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace {

namespace fs = std::filesystem;
using nlohmann::json;

constexpr int kTimeoutMs = 30'000;      // until all expected calls and notifications have arrived
constexpr int kUnexpectedWaitMs = 400;  // after that, for unexpected ones
constexpr int kRecordingMs = 8'000;     // without EXPECTED

std::int64_t MonotonicMicros() {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1'000'000LL + now.tv_nsec / 1000;
}

std::string ReadFile(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

// A frame is the record's length and its CRC-32, both 32-bit little-endian, followed by the record.
json ReadFramed(const fs::path& path) { return json::parse(ReadFile(path).substr(8)); }

void WriteFramed(const fs::path& path, const std::string& record) {
  const auto size = static_cast<std::uint32_t>(record.size());
  const auto check =
      static_cast<std::uint32_t>(crc32(0, reinterpret_cast<const Bytef*>(record.data()), size));
  std::ofstream file(path, std::ios::binary);
  for (const std::uint32_t number : {size, check})
    for (int i = 0; i < 4; ++i) file.put(static_cast<char>(number >> (8 * i)));
  file << record;
}

int Bind(int type) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) throw std::runtime_error("bind");
  return fd;
}

std::string AddressOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

int Listen() {
  const int fd = Bind(SOCK_STREAM);
  listen(fd, 64);
  return fd;
}

std::string FreeAddress(int type) {
  const int fd = Bind(type);
  std::string address = AddressOf(fd);
  close(fd);
  return address;
}

std::string Header(const std::string& head, const std::string& name) {
  const std::size_t at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) return {};
  const std::size_t from = at + name.size() + 4;
  return head.substr(from, head.find("\r\n", from) - from);
}

std::string DecodeBase64(const std::string& text) {
  constexpr std::string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string bytes;
  unsigned bits = 0;
  unsigned count = 0;
  for (const char c : text) {
    if (c == '=') break;
    bits = bits << 6U | static_cast<unsigned>(kDigits.find(c));
    if ((count += 6) >= 8) bytes += static_cast<char>(bits >> (count -= 8));
  }
  return bytes;
}

std::string MaskNumber(const std::string& text, const std::string& key) {
  return std::regex_replace(text, std::regex("\"" + key + "\":[-+.e0-9]+"), "\"" + key + "\":*");
}

std::string Response(int status, const std::string& body = {}) {
  return "HTTP/1.1 " + std::to_string(status) + " -\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Fake endpoints and a fake discovery service; Poll serves them all.
class FakeServers {
 public:
  explicit FakeServers(std::set<std::string>& observed) : observed_(observed) {
    for (const char* name : {"e1", "e2", "s1", "s2", "discovery"}) listeners_[name] = Listen();
  }
  std::map<std::string, std::string> Addresses() const {
    std::map<std::string, std::string> addresses;
    for (const auto& [name, fd] : listeners_) addresses[name] = AddressOf(fd);
    return addresses;
  }
  void Poll() {
    std::vector<pollfd> polled;
    for (const auto& [name, fd] : listeners_) polled.push_back({fd, POLLIN, 0});
    for (const auto& [fd, connection] : connections_) polled.push_back({fd, POLLIN, 0});
    poll(polled.data(), polled.size(), 20);
    for (const auto& [name, fd] : listeners_) {
      for (const pollfd& p : polled) {
        if (p.fd == fd && p.revents != 0)
          connections_[accept4(fd, nullptr, nullptr, SOCK_CLOEXEC)] = {name, {}};
      }
    }
    for (const pollfd& p : polled)
      if (p.revents != 0 && connections_.count(p.fd) > 0) Receive(p.fd);
  }

 private:
  struct Connection {
    std::string server, received;
  };
  void Receive(int fd) {
    Connection& connection = connections_[fd];
    char bytes[65536];
    const ssize_t count = recv(fd, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      close(fd);
      connections_.erase(fd);
      return;
    }
    connection.received.append(bytes, static_cast<std::size_t>(count));
    for (;;) {
      const std::size_t end = connection.received.find("\r\n\r\n");
      if (end == std::string::npos) return;
      const std::string head = connection.received.substr(0, end + 2);
      const std::string length = Header(head, "Content-Length");
      const std::size_t size = length.empty() ? 0 : std::stoul(length);
      if (connection.received.size() < end + 4 + size) return;
      const std::string answer = Serve(connection.server, head, connection.received.substr(end + 4, size));
      send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
      connection.received.erase(0, end + 4 + size);
    }
  }
  std::string Serve(const std::string& server, const std::string& head, const std::string& body) {
    if (server == "discovery" && head.rfind("GET", 0) == 0) {
      const std::string line = "{\"generation\":41,\"reset\":false,\"instances\":[]}\n";
      std::ostringstream chunk;
      chunk << "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            << std::hex << line.size() << "\r\n"
            << line;
      return chunk.str() + "\r\n";
    }
    if (server == "discovery") {
      std::istringstream lines(body);
      for (std::string line; std::getline(lines, line);)
        observed_.insert("notice " + MaskNumber(line, "retry_in_ms"));
      return Response(204);
    }
    if (head.rfind("GET", 0) == 0) return Response(200);  // a health check
    if (head.rfind("POST /hook/batch ", 0) != 0) {
      RecordCall(server, Header(head, "X-Txn"), Header(head, "Idempotency-Key"), body);
      return Response(200);
    }
    json done = json::array();
    for (const json& one : json::parse(body)) {
      RecordCall(server, one.at("id"), one.value("key", ""), DecodeBase64(one.at("body")));
      done.push_back({{"id", one.at("id")}, {"state", "done"}});
    }
    return Response(200, done.dump());
  }
  void RecordCall(const std::string& server, const std::string& id, const std::string& key,
                  const std::string& body) {
    const bool is_intact = body == "body of " + id + std::string("\0\r\n\xff", 4);
    observed_.insert("call " + server + " " + id + " key '" + key + "' body " +
                     (is_intact ? "as taken" : "changed"));
  }

  std::set<std::string>& observed_;
  std::map<std::string, int> listeners_;
  std::map<int, Connection> connections_;
};

std::string HttpGet(const std::string& address, const std::string& path) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
  const std::string request = "GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  std::string answer;
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0 &&
      send(fd, request.data(), request.size(), MSG_NOSIGNAL) > 0) {
    char bytes[4096];
    for (ssize_t count = 0; (count = recv(fd, bytes, sizeof(bytes), 0)) > 0;)
      answer.append(bytes, static_cast<std::size_t>(count));
  }
  close(fd);
  return answer;
}

class StatePlayer {
 public:
  StatePlayer(std::string program, const fs::path& fixture, double shift, std::set<std::string> expected)
      : program_(std::move(program)),
        expected_(std::move(expected)),
        state_(fs::temp_directory_path() / ("opalroute-state-" + std::to_string(getpid()))),
        is_pair_(fs::exists(fixture / "waits.0")),
        servers_(observed_) {
    fs::copy(fixture, state_);
    std::int64_t killed_at = 0;
    std::ifstream(fixture / "killed_at_us") >> killed_at;
    std::string boot;
    std::getline(std::ifstream("/proc/sys/kernel/random/boot_id"), boot);
    const std::int64_t now = MonotonicMicros();
    json clock = ReadFramed(state_ / "clock");
    clock["boot"] = boot;
    clock["monotonic"] = now;
    clock["offset"] = killed_at + static_cast<std::int64_t>(shift * 1e6) - now;
    WriteFramed(state_ / "clock", clock.dump());
    WriteConfig(fixture.parent_path() / "config.json");
  }
  ~StatePlayer() { fs::remove_all(state_); }

  const std::set<std::string>& Run() {
    ReadSnapshot();
    const std::uint64_t incarnation =
        is_pair_ ? 0 : ReadFramed(state_ / "tier").at("life").get<std::uint64_t>();
    const pid_t process = Start();
    ServeUntilDone();
    ReadMetrics();
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
    if (!is_pair_) ReadMembershipFile(incarnation);
    std::istringstream bans(ReadFile(state_ / "bans"));
    for (std::string id; std::getline(bans, id);) observed_.insert("suspended " + id);
    return observed_;
  }

 private:
  void WriteConfig(const fs::path& from) {
    addresses_ = servers_.Addresses();
    listener_ = Listen();
    addresses_["listen"] = is_pair_ ? AddressOf(listener_) : FreeAddress(SOCK_STREAM);
    for (const char* name : {"d1", "ops"}) addresses_[name] = FreeAddress(SOCK_STREAM);
    for (const char* name : {"p0", "p1"}) addresses_[name] = FreeAddress(SOCK_DGRAM);
    std::string text = ReadFile(from);
    const auto fill = [&](const std::string& name, const std::string& value) {
      for (std::size_t at = 0; (at = text.find("@" + name + "@")) != std::string::npos;)
        text.replace(at, name.size() + 2, value);
    };
    for (const auto& [name, address] : addresses_) fill(name, address);
    fill("state", state_.string());
    std::ofstream(state_ / "config.json") << text;
  }
  void ReadSnapshot() {
    FILE* pipe = popen((program_ + " snapshot " + state_.string() + " --json 2>/dev/null").c_str(), "r");
    std::string text;
    for (int c = 0; (c = fgetc(pipe)) != EOF && c != '\n';) text += static_cast<char>(c);
    pclose(pipe);
    observed_.insert("snapshot " + MaskNumber(text, "saved_before_s"));
  }
  pid_t Start() {
    const pid_t process = fork();
    if (process != 0) return process;
    setenv("EDGE_CONFIG", (state_ / "config.json").c_str(), 1);
    if (is_pair_) setenv("EDGE_INHERITED_FD", std::to_string(dup(listener_)).c_str(), 1);
    const int log = open((state_ / "log").c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    dup2(log, STDOUT_FILENO);
    if (is_pair_) execl(program_.c_str(), program_.c_str(), nullptr);
    execl(program_.c_str(), program_.c_str(), "--learn-state", "--tier-shares", "--tier-zones", nullptr);
    _exit(127);
  }
  bool AllExpectedArrived() const {
    for (const std::string& line : expected_) {
      if ((line.rfind("call ", 0) == 0 || line.rfind("notice ", 0) == 0) && observed_.count(line) == 0)
        return false;
    }
    return !expected_.empty();
  }
  void ServeUntilDone() {
    const std::int64_t began = MonotonicMicros();
    std::int64_t until = began + (expected_.empty() ? kRecordingMs : kTimeoutMs) * 1000LL;
    for (bool all_arrived = false; MonotonicMicros() < until;) {
      servers_.Poll();
      if (all_arrived || !AllExpectedArrived()) continue;
      all_arrived = true;
      until = MonotonicMicros() + kUnexpectedWaitMs * 1000LL;
    }
  }
  void ReadMetrics() {
    std::smatch found;
    const std::string counters = HttpGet(addresses_["listen"], "/counters");
    if (std::regex_search(counters, found, std::regex("\"restored\":[0-9]+")))
      observed_.insert("counters " + found.str());
    std::istringstream lines(HttpGet(addresses_["ops"], "/v1/metrics"));
    for (std::string line; std::getline(lines, line);) {
      if (line.rfind("edge.known", 0) == 0 || line.rfind("edge.skipped", 0) == 0 ||
          line.rfind("edge.in_p", 0) == 0)
        observed_.insert("figure " + line);
    }
  }
  void ReadMembershipFile(std::uint64_t previous) {
    const json tier = ReadFramed(state_ / "tier");
    const auto incarnation = tier.at("life").get<std::uint64_t>();
    observed_.insert(incarnation == previous + 1 ? "tier life is the next"
                     : incarnation > previous    ? "tier life is later"
                                                 : "tier life is old");
    for (const auto& [zone, row] : tier.at("zones").items()) {
      if (row.contains("order")) {
        observed_.insert("tier order " + zone + " " + row["order"]["what"].get<std::string>() + " " +
                         row["order"]["number"].dump());
      }
    }
  }

  const std::string program_;
  const std::set<std::string> expected_;
  std::set<std::string> observed_;
  const fs::path state_;
  const bool is_pair_;  // recorded from two processes that share a listening socket
  FakeServers servers_;
  std::map<std::string, std::string> addresses_;
  int listener_ = -1;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4) return 2;
  std::set<std::string> expected;
  if (argc > 4) {
    std::ifstream file(argv[4]);
    for (std::string line; std::getline(file, line);) expected.insert(line);
    if (expected.empty()) return 2;
  }
  StatePlayer player(argv[1], argv[2], std::stod(argv[3]), expected);
  const std::set<std::string> observed = player.Run();
  if (expected.empty()) {
    for (const std::string& line : observed) std::cout << line << '\n';
    return 0;
  }
  int mismatches = 0;
  for (const std::string& line : expected)
    if (observed.count(line) == 0) std::cout << "missing: " << line << '\n', ++mismatches;
  for (const std::string& line : observed)
    if (expected.count(line) == 0) std::cout << "unexpected: " << line << '\n', ++mismatches;
  return mismatches == 0 ? 0 : 1;
}
