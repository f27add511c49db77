// The relay program as the platform runs it: signals, configuration reload, and system calls that are denied.
#include <doctest/doctest.h>
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/support/child_process.h"

namespace opalroute {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

// Guards against a SIGHUP that ends the program, or that takes the discovery address from the environment of
// the program's start instead of the changed file.
TEST_CASE("SIGHUP reloads the configuration, and SIGTERM ends the program") {
  const fs::path folder = fs::temp_directory_path() / ("opalroute-program-" + std::to_string(getpid()));
  fs::create_directories(folder);
  json config;
  std::ifstream(fs::path(EXCHANGES) / "base.json") >> config;
  config["state"] = folder.string();
  const auto write = [&](const std::string& text) { std::ofstream(folder / "config.json") << text; };
  config["discovery"] = "127.0.0.1:1";
  write(config.dump());
  {
    ChildProcess program(folder / "config.json", "127.0.0.1:1");
    REQUIRE(program.ReadLogUntil("listening"));
    config["discovery"] = "127.0.0.1:2";
    config["limits"]["disk_mb"] = 5;
    write(config.dump());
    program.Signal(SIGHUP);
    CHECK(program.ReadLogUntil("reload_key_waits key=/limits/disk_mb"));
    CHECK(program.ReadLogUntil("reload_done discovery=127.0.0.1:2 before=127.0.0.1:1"));
    write("{\"name\":");
    program.Signal(SIGHUP);
    CHECK(program.ReadLogUntil("reload_refused why=\"the configuration is not valid JSON"));
    program.Signal(SIGTERM);
    CHECK(program.ReadLogUntil("counters"));
    CHECK(program.ExitStatus() == 0);
  }
  fs::remove_all(folder);
}

// Installs a seccomp filter that fails datagram sockets with ENOSYS, as well as some system calls that the
// relay must not depend on. It applies to this process and its children.
void DenyDatagramSocketsAndUnusedCalls() {
  const auto load = [](std::uint32_t at) { return sock_filter BPF_STMT(BPF_LD | BPF_W | BPF_ABS, at); };
  constexpr std::uint32_t kNumber = offsetof(seccomp_data, nr);
  std::vector<sock_filter> filter = {load(kNumber)};
  const sock_filter deny = BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ERRNO | ENOSYS);
  // clone is not denied: the leak check of a sanitizer build runs in a task of its own.
  for (const std::uint32_t call : {SYS_io_uring_setup, SYS_splice, SYS_sendfile}) {
    filter.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, call, 0, 1));
    filter.push_back(deny);
  }
  filter.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_socket, 0, 6));
  filter.push_back(load(offsetof(seccomp_data, args[0])));
  filter.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, AF_INET, 0, 3));
  filter.push_back(load(offsetof(seccomp_data, args[1])));
  filter.push_back(BPF_STMT(BPF_ALU | BPF_AND | BPF_K, 0xf));  // without flags such as SOCK_CLOEXEC
  filter.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SOCK_STREAM, 1, 0));
  filter.push_back(deny);
  filter.push_back(BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW));
  const sock_fprog program{static_cast<unsigned short>(filter.size()), filter.data()};
  prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0);
  prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, &program);
}

TEST_CASE("a feature whose system calls are denied is logged as off, and the relay still starts") {
  const fs::path folder = fs::temp_directory_path() / ("opalroute-refused-" + std::to_string(getpid()));
  fs::create_directories(folder);
  json config;
  std::ifstream(fs::path(EXCHANGES) / "base.json") >> config;
  config["state"] = folder.string();
  config["peer_listen"] = "127.0.0.1:0";
  std::ofstream(folder / "config.json") << config.dump();
  {
    ChildProcess program(folder / "config.json", "127.0.0.1:1", {}, RELAY_PROGRAM,
                         DenyDatagramSocketsAndUnusedCalls);
    CHECK(program.ReadLogUntil(
        "feature_off feature=\"gossip between relays\" why=\"datagram socket: Function not"));
    CHECK(program.ReadLogUntil("listening"));
    program.Signal(SIGTERM);
    CHECK(program.ReadLogUntil("counters"));
    CHECK(program.ExitStatus() == 0);
  }
  fs::remove_all(folder);
}

}  // namespace
}  // namespace opalroute
