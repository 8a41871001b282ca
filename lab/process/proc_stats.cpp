#include "lab/process/proc_stats.h"

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace fernward::rig {
namespace {

std::string proc_path(pid_t pid, const char* file) { return "/proc/" + std::to_string(pid) + "/" + file; }

} // namespace

double resident_memory_mb(pid_t pid) {
  std::ifstream file(proc_path(pid, "statm"));
  double size = 0, resident = 0;
  file >> size >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
}

double peak_memory_mb(pid_t pid) {
  std::ifstream file(proc_path(pid, "status"));
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("VmHWM:", 0) == 0) return std::strtod(line.c_str() + 6, nullptr) / 1024;
  }
  return 0;
}

// schedstat counts nanoseconds per thread; stat has a resolution of only ten milliseconds.
double cpu_time_s(pid_t pid) {
  std::error_code error;
  double sum = 0;
  for (const auto& task : std::filesystem::directory_iterator(proc_path(pid, "task"), error)) {
    std::ifstream file(task.path() / "schedstat");
    double ns = 0;
    if (file >> ns) sum += ns / 1e9;
  }
  return sum;
}

std::uint32_t open_descriptors(pid_t pid) {
  std::error_code error;
  std::uint32_t count = 0;
  for (std::filesystem::directory_iterator it(proc_path(pid, "fd"), error), end; !error && it != end;
       it.increment(error)) {
    ++count;
  }
  return count;
}

} // namespace fernward::rig
