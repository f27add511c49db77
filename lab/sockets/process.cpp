#include "lab/sockets/process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

namespace opalroute::lab {

void EndWithParent(pid_t parent) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  // A child whose parent ended before this call gets no signal: it looks for itself.
  if (getppid() != parent) _exit(126);
}

namespace {

// Until the child has run execve or ended it holds copies of all descriptors: a listener that is closed here
// would go on listening there.
void WaitForEnd(int pipe) {
  char byte = 0;
  while (read(pipe, &byte, 1) < 0 && errno == EINTR) {
  }
}

}  // namespace

Process::Process(const std::string& program, const std::vector<std::string>& arguments,
                 const std::map<std::string, std::string>& variables, std::string log)
    : log_(std::move(log)) {
  const pid_t parent = getpid();
  // All that needs memory is made before the fork.
  std::vector<std::string> words = {program};
  words.insert(words.end(), arguments.begin(), arguments.end());
  // What is meant for a relay that runs for real is not meant for this one.
  const auto is_relays = [](const std::string& variable) {
    return variable.rfind("EDGE_", 0) == 0 || variable.rfind("OPALROUTE_", 0) == 0;
  };
  for (char** variable = environ; *variable != nullptr; ++variable)
    if (!is_relays(*variable)) words.emplace_back(*variable);
  const std::size_t first_variable = 1 + arguments.size();
  for (const auto& [name, value] : variables) words.push_back(name + "=" + value);
  std::vector<char*> line, environment;
  for (std::size_t i = 0; i < words.size(); ++i)
    (i < first_variable ? line : environment).push_back(words[i].data());
  line.push_back(nullptr);
  environment.push_back(nullptr);
  const int out = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (out < 0) throw std::system_error(errno, std::generic_category(), "the log " + log_);
  int started[2];
  if (pipe2(started, O_CLOEXEC) != 0) {
    const int error = errno;
    close(out);
    throw std::system_error(error, std::generic_category(), "a pipe to a process");
  }
  pid_ = fork();
  if (pid_ == 0) {
    EndWithParent(parent);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    execve(program.c_str(), line.data(), environment.data());
    _exit(127);
  }
  const int error = errno;
  close(out);
  close(started[1]);
  if (pid_ > 0) WaitForEnd(started[0]);
  close(started[0]);
  if (pid_ < 0) throw std::system_error(error, std::generic_category(), "fork");
}

Process::~Process() {
  if (Ended()) return;
  kill(pid_, SIGCONT);
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void Process::Signal(int number) {
  if (!Ended()) kill(pid_, number);
}

const std::optional<std::string>& Process::Ended() {
  int status = 0;
  if (!ended_ && waitpid(pid_, &status, WNOHANG) == pid_) {
    ended_ = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                 : "exit status " + std::to_string(WEXITSTATUS(status));
  }
  return ended_;
}

std::string Process::LastLogOf(const std::string& log) {
  constexpr std::size_t kBytes = 2000;
  std::ifstream file(log, std::ios::binary | std::ios::ate);
  if (!file) return {};
  const auto size = static_cast<std::size_t>(file.tellg());
  file.seekg(static_cast<std::streamoff>(size > kBytes ? size - kBytes : 0));
  std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  const std::size_t line = size > kBytes ? text.find('\n') : std::string::npos;
  return line == std::string::npos ? text : text.substr(line + 1);
}

std::optional<ProcessSample> SampleOf(pid_t pid) {
  ProcessSample sample;
  const std::string folder = "/proc/" + std::to_string(pid);
  std::ifstream memory(folder + "/statm");
  long pages = 0, resident = 0;
  // One that has ended and waits to be reaped has a page of figures still, all of them 0 (proc(5)).
  if (!(memory >> pages >> resident) || resident == 0) return std::nullopt;
  sample.rss_kb = resident * (sysconf(_SC_PAGESIZE) / 1024);
  std::ifstream stat(folder + "/stat");
  std::string text;
  std::getline(stat, text);
  // Fields 14 and 15, counted from the end of the name, which may hold blanks (proc(5)).
  std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 2)));
  std::string field;
  for (int i = 3; i < 14; ++i) fields >> field;
  long user = 0, system = 0;
  if (fields >> user >> system)
    sample.cpu = static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::error_code error;
  for (std::filesystem::directory_iterator it(folder + "/fd", error), end; !error && it != end;
       it.increment(error))
    ++sample.descriptors;
  return sample;
}

}  // namespace opalroute::lab
