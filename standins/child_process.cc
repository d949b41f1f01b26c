#include "child_process.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <thread>

extern char** environ;

namespace banyanknot::standins {
namespace {

constexpr state::Duration kExitPoll = state::Milliseconds(5);
constexpr mode_t kFileMode = 0644;
constexpr int kAppend = O_WRONLY | O_CREAT | O_APPEND;

}  // namespace

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments,
                           const std::string& error_file,
                           const std::string& output_file) {
  std::array<int, 2> ends{-1, -1};
  if (pipe2(ends.data(), O_CLOEXEC) != 0) return;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  if (output_file.empty()) {
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
  } else {
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                     output_file.c_str(), kAppend, kFileMode);
  }
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, error_file.c_str(),
                                   kAppend, kFileMode);
  std::vector<std::string> owned{program};
  owned.insert(owned.end(), arguments.begin(), arguments.end());
  std::vector<char*> pointers;
  pointers.reserve(owned.size() + 1);
  for (std::string& argument : owned) pointers.push_back(argument.data());
  pointers.push_back(nullptr);
  const int error = posix_spawn(&this->pid, program.c_str(), &actions, nullptr,
                                pointers.data(), environ);
  if (error != 0) this->pid = -1;
  posix_spawn_file_actions_destroy(&actions);
  close(ends[1]);
  this->output = ends[0];
}

ChildProcess::~ChildProcess() {
  if (this->pid > 0 && !this->exit_status) {
    this->Signal(SIGKILL);
    waitpid(this->pid, nullptr, 0);
  }
  if (this->output >= 0) close(this->output);
}

std::optional<std::string> ChildProcess::ReadLine(state::Duration timeout) {
  const std::chrono::steady_clock::time_point deadline =
      std::chrono::steady_clock::now() + timeout;
  while (true) {
    const std::size_t end = this->buffered.find('\n');
    if (end != std::string::npos) {
      std::string line = this->buffered.substr(0, end);
      this->buffered.erase(0, end + 1);
      return line;
    }
    const std::int64_t left =
        state::ToMilliseconds(deadline - std::chrono::steady_clock::now());
    pollfd waited{this->output, POLLIN, 0};
    if (left <= 0 || poll(&waited, 1, static_cast<int>(left)) <= 0) {
      return std::nullopt;
    }
    std::array<char, 4096> bytes{};
    const ssize_t count = read(this->output, bytes.data(), bytes.size());
    if (count <= 0) return std::nullopt;
    this->buffered.append(bytes.data(), static_cast<std::size_t>(count));
  }
}

std::optional<nlohmann::json> ChildProcess::ReadJsonLine(
    state::Duration timeout) {
  const std::optional<std::string> line = this->ReadLine(timeout);
  if (!line) return std::nullopt;
  nlohmann::json parsed = nlohmann::json::parse(*line, nullptr, false);
  if (parsed.is_discarded()) return std::nullopt;
  return parsed;
}

void ChildProcess::Signal(int number) const {
  if (this->pid > 0 && !this->exit_status) kill(this->pid, number);
}

std::optional<int> ChildProcess::WaitForExit(state::Duration timeout) {
  const std::chrono::steady_clock::time_point deadline =
      std::chrono::steady_clock::now() + timeout;
  while (this->pid > 0 && !this->exit_status) {
    int status = 0;
    if (waitpid(this->pid, &status, WNOHANG) == this->pid) {
      this->exit_status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    } else if (std::chrono::steady_clock::now() >= deadline) {
      return std::nullopt;
    } else {
      std::this_thread::sleep_for(kExitPoll);
    }
  }
  return this->exit_status;
}

}  // namespace banyanknot::standins
