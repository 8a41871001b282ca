// One `fernward serve` process: its start, what the kernel says of it, and its end.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <string>

namespace fernward::bench::discovery {

/// What a router is started with.
struct RouterOptions {
  std::string program;
  std::string name;
  std::string discovery; // address
  std::uint64_t seed = 1;
  std::filesystem::path folder; // for its configuration and its temporary files; must exist
};

/// Ends the process, by its id, where it is destroyed.
class RouterProcess {
 public:
  /// Throws std::runtime_error if the process cannot be started.
  explicit RouterProcess(const RouterOptions& options);
  ~RouterProcess();
  RouterProcess(RouterProcess&& other) noexcept;
  RouterProcess& operator=(RouterProcess&&) = delete;

  /// Looks whether the process has ended by itself.
  bool running();
  /// On the CPU so far, user and system, all threads.
  double cpu_ms() const;
  double peak_rss_mb() const;
  /// Asks it to end in an orderly way; the destructor waits for that, and kills it where it takes too long.
  void terminate();

 private:
  pid_t pid_; // 0: has ended, or moved from
};

} // namespace fernward::bench::discovery
