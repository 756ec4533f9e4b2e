#include "process/process_handle.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <thread>
#include <utility>

namespace coursepond::process_tests {

namespace {

std::string programPath(const std::string& program) {
  const char* folder = std::getenv("COURSEPOND_BIN");
  if (folder == nullptr) throw std::runtime_error("set COURSEPOND_BIN to the folder of programs");
  return std::string(folder) + "/" + program;
}

int decodeStatus(int status) { return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status); }

}  // namespace

ProcessHandle::ProcessHandle(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& log_path) {
  const std::string path = programPath(program);
  std::vector<char*> argv{const_cast<char*>(path.c_str())};
  for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);

  constexpr mode_t kLogMode = 0644;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // Without this, sockets inherited from the test would stay open and keep their ports in use.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error = posix_spawn(&pid_, path.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::system_error(error, std::generic_category(), path);
}

ProcessHandle::ProcessHandle(ProcessHandle&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)), status_(other.status_) {}

ProcessHandle::~ProcessHandle() {
  if (pid_ > 0) killNow();
}

bool ProcessHandle::reap(bool block) {
  if (status_) return true;
  int status = 0;
  if (waitpid(pid_, &status, block ? 0 : WNOHANG) != pid_) return false;
  status_ = decodeStatus(status);
  return true;
}

void ProcessHandle::signal(int number, int value) {
  if (!running()) return;
  sigval information{};
  information.sival_int = value;
  sigqueue(pid_, number, information);
}

void ProcessHandle::signal(int number) {
  if (!reap(false)) ::kill(pid_, number);
}

void ProcessHandle::killNow() {
  signal(SIGKILL);
  reap(true);
}

bool ProcessHandle::running() { return !reap(false); }

std::optional<int> ProcessHandle::waitForExit(Duration limit) {
  waitUntil(limit, [this] { return reap(false); });
  return status_;
}

TestFolder::TestFolder() {
  std::string pattern = (std::filesystem::temp_directory_path() / "coursepond-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr)
    throw std::runtime_error("cannot create a temporary folder");
  path_ = pattern;
}

TestFolder::~TestFolder() {
  if (std::getenv("COURSEPOND_KEEP_LOGS") != nullptr) {
    std::cout << "files kept in " << path_ << std::endl;
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

void TestFolder::write(const std::string& name, const std::string& text) const {
  std::filesystem::create_directories(std::filesystem::path(file(name)).parent_path());
  std::ofstream(file(name), std::ios::binary) << text;
}

std::string TestFolder::read(const std::string& name) const {
  std::ostringstream text;
  text << std::ifstream(file(name), std::ios::binary).rdbuf();
  return text.str();
}

void pauseFor(Duration time) { std::this_thread::sleep_for(time); }

}  // namespace coursepond::process_tests
