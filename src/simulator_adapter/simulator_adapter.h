// Hosts one Balancer for each instance in the process and answers batches of events with their actions.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "simulator_adapter/wire.h"

namespace fernward::simulator_adapter {

class SimulatorAdapter {
 public:
  // Answers one complete frame, including its header. The reply is valid until the next call. Throws BadInput
  // or std::invalid_argument, without a reply, if the frame or the settings are invalid.
  const std::string& process_batch(std::string_view frame);

 private:
  void handle_record(const Record& record, double now_ms);
  Balancer& balancer(std::uint16_t instance);

  std::map<std::uint16_t, Balancer> balancers_;
  std::array<std::optional<std::vector<Server>>, 16> lists_;
  std::vector<Action> actions_;
  Reply reply_;
};

} // namespace fernward::simulator_adapter
