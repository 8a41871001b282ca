// fernward_simulator_adapter: serves the simulator's binary protocol on standard input and output with the
// balancer.
#include <cstdio>
#include <exception>
#include <string>

#include "simulator_adapter/simulator_adapter.h"

namespace {

// Returns false at the end of input; throws BadInput if the input ends within the requested bytes.
bool read_exactly(char* buffer, std::size_t byte_count) {
  const std::size_t bytes_read = std::fread(buffer, 1, byte_count, stdin);
  if (bytes_read == 0) return false;
  if (bytes_read != byte_count) throw fernward::simulator_adapter::BadInput("input ended within a frame");
  return true;
}

} // namespace

int main() {
  using namespace fernward::simulator_adapter;
  try {
    SimulatorAdapter adapter;
    std::string frame(kBatchHeaderBytes, '\0');
    while (read_exactly(frame.data(), kBatchHeaderBytes)) {
      const std::size_t frame_bytes = read_header(frame).frame_bytes;
      frame.resize(frame_bytes);
      if (frame_bytes > kBatchHeaderBytes &&
          !read_exactly(frame.data() + kBatchHeaderBytes, frame_bytes - kBatchHeaderBytes)) {
        throw BadInput("input ended within a frame");
      }
      const std::string& reply = adapter.process_batch(frame);
      if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0) {
        throw BadInput("standard output was closed");
      }
      frame.resize(kBatchHeaderBytes);
    }
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fernward_simulator_adapter: %s\n", error.what());
    return 1;
  }
}
