// Runs one relay of a scenario as a child process: starts it, polls until it is ready, applies faults to it
// and restarts it in the same folder.
#pragma once

#include <netinet/in.h>

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "lab/sockets/process.h"
#include "lab/sockets/reserved_address.h"
#include "lab/sockets/restart_schedule.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace opalroute::lab {

class RelayProcess {
 public:
  // From SIGTERM to SIGKILL, as the platform's protocol specifies.
  static constexpr net::Seconds kGracePeriod = 3.7;

  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void OnRestart(int) {}  // a scheduled restart has started the next process
    virtual void OnReady(int relay) = 0;
    virtual void OnExit(int) {}    // the process has exited after Terminate()
    virtual void OnKilled(int) {}  // the process was killed by Kill()
    // The process has exited without having been told to, or was not ready in time. It is not restarted.
    virtual void OnCrash(int relay, const std::string& reason) = 0;
  };
  struct Options {
    std::string program;                 // path of the relay's executable
    std::vector<std::string> arguments;  // without the program's name
    bool has_admin_address = false;      // runs with --admin-listen
    std::string folder;                  // used by this relay only: config.json, state/, log
    std::function<nlohmann::json(const std::string& listen)> config;
    // Called before each start: further environment variables besides EDGE_CONFIG and EDGE_STATE.
    std::function<std::map<std::string, std::string>(const std::string& state_folder)> variables;
  };
  RelayProcess(net::EventLoop& loop, int number, Options options, Owner& owner);
  ~RelayProcess();

  void Start();  // with the current configuration; no process may be running
  void Poll();   // to be called every few milliseconds: does what the schedule has due and checks readiness
  // SIGTERM, then SIGKILL if the process does not exit within kGracePeriod. `down`: see RestartSchedule.
  void Terminate(net::Seconds down = RestartSchedule::kNever);
  void Kill(net::Seconds down = RestartSchedule::kNever);  // SIGKILL
  void Freeze();                                           // SIGSTOP
  void Thaw();                                             // SIGCONT
  void Reload();                                           // writes config.json and sends SIGHUP
  // Sends a POST to the admin address. Does nothing without one or while an earlier request is in flight.
  void PostToAdmin(const std::string& path, std::string body);

  bool running() const { return process_ != nullptr; }
  bool ready() const { return ready_; }
  bool stopping() const { return schedule_.state() == RestartSchedule::State::kStopping; }
  bool serving() const { return running() && ready_ && !stopping(); }
  int starts() const { return starts_; }  // number of starts so far
  net::Seconds next_start() const { return schedule_.next_start(); }
  // Whether the process of the given start, counted from 1, had been sent SIGKILL by that time.
  bool WasKilled(int start, net::Seconds by) const;
  const sockaddr_in& address() const { return listen_.address(); }
  std::optional<ProcessSample> Sample() const;
  std::string LogTail() const;

 private:
  class ReadinessCheck;
  class AdminRequest;
  void SendKill();
  void WriteConfig();
  void CheckReadiness();

  net::EventLoop& loop_;
  const int number_;
  const Options options_;
  Owner& owner_;
  net::HttpClient client_;
  // Kept across restarts: no other program can take the addresses while the relay is down.
  const ReservedAddress listen_;
  std::optional<ReservedAddress> admin_listen_;
  std::unique_ptr<Process> process_;
  std::unique_ptr<ReadinessCheck> readiness_check_;
  std::unique_ptr<AdminRequest> admin_request_;
  RestartSchedule schedule_{kGracePeriod};
  bool ready_ = false, frozen_ = false;
  int starts_ = 0;
  net::Seconds started_at_ = 0;
  std::map<int, net::Seconds> killed_at_;  // by start
};

}  // namespace opalroute::lab
