// One relay of a scenario as a process of its own: started, watched until it is ready, struck by faults, and
// started again in the folder that lasts.
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
  static constexpr net::Seconds kKilledAfter = 3.7;  // SIGKILL follows SIGTERM (the protocol's figures)

  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void OnStart(int) {}  // the next process after a signal has been started
    virtual void OnReady(int relay) = 0;
    virtual void OnEnd(int) {}     // its process has ended, as it was told to
    virtual void OnKilled(int) {}  // its process was killed
    // Nobody has told it to end, or it could not start. It stays down.
    virtual void OnCrash(int relay, const std::string& how) = 0;
  };
  struct Plan {
    std::string program;                 // of the relay
    std::vector<std::string> arguments;  // after its name
    bool has_pages = false;              // it gets an address for operators' questions
    std::string folder;                  // of its own: config.json, state/, log
    std::function<nlohmann::json(const std::string& listen)> config;
    // Asked at each start: what stands in its environment beside the relay's own.
    std::function<std::map<std::string, std::string>(const std::string& state_folder)> variables;
  };
  RelayProcess(net::EventLoop& loop, int number, Plan plan, Owner& owner);
  ~RelayProcess();

  void Start();  // with the configuration as it is by now; none may be running
  void Poll();   // to be called every few milliseconds: carries out what the schedule has due
  // SIGTERM, and SIGKILL where it takes too long; `down`: as RestartSchedule has it.
  void Terminate(net::Seconds down = RestartSchedule::kNever);
  void Kill(net::Seconds down = RestartSchedule::kNever);  // SIGKILL
  void Freeze();                                           // SIGSTOP
  void Thaw();                                             // SIGCONT
  void Reload();                                           // a new file, and SIGHUP
  void Order(const std::string& path, std::string body);   // an operator's POST; needs Plan::has_pages

  bool running() const { return process_ != nullptr; }
  bool ready() const { return ready_; }
  bool stopping() const { return schedule_.state() == RestartSchedule::State::kStopping; }
  bool serves() const { return running() && ready_ && !stopping(); }
  int starts() const { return starts_; }  // so far
  net::Seconds next_start() const { return schedule_.next_start(); }
  // Whether the process of that start, counted from 1, had been sent SIGKILL by then.
  bool WasKilled(int start, net::Seconds by) const;
  const sockaddr_in& address() const { return listen_.address(); }
  std::optional<ProcessSample> Sample() const;
  std::string LastLog() const;

 private:
  class Check;
  class Posted;
  void SendKill();
  void WriteConfig();
  void Ask();

  net::EventLoop& loop_;
  const int number_;
  const Plan plan_;
  Owner& owner_;
  net::HttpClient client_;
  // Kept over restarts, too: nobody else gets them while no process listens there.
  const ReservedAddress listen_;
  std::optional<ReservedAddress> pages_;
  std::unique_ptr<Process> process_;
  std::unique_ptr<Check> check_;
  std::unique_ptr<Posted> posted_;  // the latest order, until it is answered
  RestartSchedule schedule_{kKilledAfter};
  bool ready_ = false, frozen_ = false;
  int starts_ = 0;
  net::Seconds launched_ = 0;
  std::map<int, net::Seconds> killed_at_;  // by start
};

}  // namespace opalroute::lab
