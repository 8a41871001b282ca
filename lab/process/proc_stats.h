// Statistics of a running process, from /proc.
#pragma once

#include <sys/types.h>

#include <cstdint>

namespace fernward::rig {

double resident_memory_mb(pid_t pid);      // 0: no such process
double peak_memory_mb(pid_t pid);          // peak resident size since its start; 0: no such process
double cpu_time_s(pid_t pid);              // used so far by its present threads; 0: no such process
std::uint32_t open_descriptors(pid_t pid); // 0: no such process

} // namespace fernward::rig
