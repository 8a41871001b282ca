// One `fernward serve` process: its start, its resource use as the kernel reports it, and its end.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <string>

namespace fernward::bench::discovery {

/// Options for starting a router.
struct RouterOptions {
  std::string program;
  std::string router_name;
  std::string discovery_address; // address of its discovery service
  std::uint64_t seed = 1;
  std::filesystem::path folder; // for its configuration and its temporary files; must exist
};

/// Owns the process. The destructor terminates it by its process id.
class RouterProcess {
 public:
  /// Throws std::runtime_error if the process cannot be started.
  explicit RouterProcess(const RouterOptions& options);
  ~RouterProcess();
  RouterProcess(RouterProcess&& other) noexcept;
  RouterProcess& operator=(RouterProcess&&) = delete;

  /// Returns whether the process is running; reaps it if it has ended.
  bool running();
  /// CPU time so far, user and system, of all current threads.
  double cpu_ms() const;
  double peak_resident_mb() const;
  /// Sends SIGTERM for a graceful shutdown. The destructor waits for the end, and kills the process after a
  /// timeout.
  void terminate();

 private:
  pid_t pid_; // 0: has ended, or moved from
};

} // namespace fernward::bench::discovery
